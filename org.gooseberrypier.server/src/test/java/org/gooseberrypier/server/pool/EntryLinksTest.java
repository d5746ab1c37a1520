package org.gooseberrypier.server.pool;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.protocol.PoolServiceGrpc;
import org.gooseberrypier.protocol.ToEntryProto;
import org.gooseberrypier.protocol.ToOwnerProto;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class EntryLinksTest {

    private static final long TIMEOUT_MS = 10_000;
    private static final int PEERS = 150;

    private final Queue<PoolEvent> events = new ConcurrentLinkedQueue<>();
    private EventLoopGroup group;
    private EntryLinks links;

    @BeforeMethod
    public void open() {
        events.clear();
        group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        links = new EntryLinks(new HostPort("127.0.0.1", 0), group, events::add);
    }

    @AfterMethod
    public void close() {
        links.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** A peer that cancels its stream while the core sends a message must not make the send fail on the core's thread. */
    @Test
    public void sendNeverThrowsWhilePeersCancelTheirStreams() throws InterruptedException {
        Random random = new Random(1);
        for (int i = 0; i < PEERS; i++) {
            Peer peer = new Peer(new VmIncarnation("127.0.0.1:1", "zone-a", 1 + i, 1_000));
            awaitEvent(new PoolEvent.EntryLinkUp(peer.vm, 1 + i, false));
            long cancelAtNanos = System.nanoTime() + random.nextInt(2_000_000);
            group.next().execute(() -> {
                while (System.nanoTime() < cancelAtNanos) {
                    Thread.onSpinWait();
                }
                peer.end(random.nextBoolean());
            });
            while (!events.contains(new PoolEvent.EntryLinkDown(peer.vm, 1 + i))) {
                links.send(new PoolEffect.SendToEntry(
                        peer.vm, new PoolMessage.Heartbeat(1, 0, List.of(), Map.of(), false)));
            }
            peer.channel.shutdownNow();
            events.clear();
        }
    }

    private void awaitEvent(PoolEvent event) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!events.contains(event)) {
            assertTrue(System.nanoTime() < endNanos, "no " + event + " in " + events);
            Thread.sleep(1);
        }
    }

    /** An entry VM's side of a stream, with gRPC's own client. */
    private final class Peer implements ClientResponseObserver<ToOwnerProto, ToEntryProto> {

        private final VmIncarnation vm;
        private final ManagedChannel channel;
        private ClientCallStreamObserver<ToOwnerProto> out;

        Peer(VmIncarnation vm) {
            this.vm = vm;
            channel = NettyChannelBuilder.forAddress(links.address().toSocketAddress())
                    .eventLoopGroup(group)
                    .channelType(NioSocketChannel.class)
                    .proxyDetector(target -> null)
                    .usePlaintext()
                    .directExecutor()
                    .build();
            PoolServiceGrpc.newStub(channel).attach(this);
            out.onNext(ToOwnerProto.newBuilder()
                    .setHello(PoolMessageCodec.encode(vm))
                    .build());
        }

        void end(boolean cancel) {
            if (cancel) {
                out.cancel("test", null);
            } else {
                out.onCompleted();
            }
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ToOwnerProto> stream) {
            out = stream;
        }

        @Override
        public void onNext(ToEntryProto message) {}

        @Override
        public void onError(Throwable error) {}

        @Override
        public void onCompleted() {}
    }
}
