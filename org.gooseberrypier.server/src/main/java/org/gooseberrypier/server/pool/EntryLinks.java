package org.gooseberrypier.server.pool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.protocol.PoolServiceGrpc;
import org.gooseberrypier.protocol.ToEntryProto;
import org.gooseberrypier.protocol.ToOwnerProto;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts the gRPC streams of entry VMs to this VM and closes streams that become silent. */
final class EntryLinks implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EntryLinks.class);
    /** Interval of the check for silent links, in milliseconds; a quarter of the silence timeout. */
    private static final long CHECK_INTERVAL_MS = 100;

    private final Consumer<PoolEvent> events;
    private final Server server;
    private final Map<VmIncarnation, Link> links = new ConcurrentHashMap<>();

    EntryLinks(HostPort address, EventLoopGroup group, Consumer<PoolEvent> events) {
        this.events = events;
        this.server = NettyServerBuilder.forAddress(address.toSocketAddress())
                .bossEventLoopGroup(group)
                .workerEventLoopGroup(group)
                .channelType(NioServerSocketChannel.class)
                .directExecutor()
                .addService(new Service())
                .build();
        try {
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        group.next()
                .scheduleWithFixedDelay(
                        this::closeSilentLinks, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    void send(PoolEffect.SendToEntry effect) {
        Link link = links.get(effect.vm());
        if (link != null) {
            link.send(PoolMessageCodec.encode(effect.message()));
        }
    }

    /** Publishes {@link PoolEvent.EntryLinkConfirmed} for each linked VM when its next message arrives. */
    void requestConfirmation() {
        links.values().forEach(l -> l.confirmationRequested = true);
    }

    private void closeSilentLinks() {
        long now = System.nanoTime();
        for (Link l : links.values()) {
            long silentMs = TimeUnit.NANOSECONDS.toMillis(now - l.lastReceivedNanos);
            if (silentMs > OwnerLink.SILENCE_TIMEOUT_MS) {
                LOG.warn("event=entry_silent vm={} silent_ms={}", l.vm.address(), silentMs);
                l.disconnect();
            }
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    private final class Service extends PoolServiceGrpc.PoolServiceImplBase {

        @Override
        public StreamObserver<ToOwnerProto> attach(StreamObserver<ToEntryProto> out) {
            return new Link((ServerCallStreamObserver<ToEntryProto>) out);
        }
    }

    private final class Link implements StreamObserver<ToOwnerProto> {

        private final ServerCallStreamObserver<ToEntryProto> out;
        private volatile VmIncarnation vm;
        private volatile long lastReceivedNanos = System.nanoTime();
        private volatile boolean confirmationRequested;
        private boolean ended;

        Link(ServerCallStreamObserver<ToEntryProto> out) {
            this.out = out;
        }

        synchronized void send(ToEntryProto message) {
            if (!ended) {
                out.onNext(message);
            }
        }

        @Override
        public void onNext(ToOwnerProto message) {
            lastReceivedNanos = System.nanoTime();
            if (confirmationRequested && vm != null) {
                confirmationRequested = false;
                events.accept(new PoolEvent.EntryLinkConfirmed(vm));
            }
            if (message.hasHello()) {
                attach(PoolMessageCodec.decode(message.getHello()));
            } else if (vm != null) {
                PoolMessageCodec.decode(message)
                        .ifPresent(m -> events.accept(new PoolEvent.EntryMessageReceived(vm, m)));
            }
        }

        private void attach(VmIncarnation sender) {
            vm = sender;
            Link previous = links.put(sender, this);
            if (previous != null) {
                previous.end();
            }
            events.accept(new PoolEvent.EntryLinkUp(sender));
            send(ToEntryProto.newBuilder().setWelcome(true).build());
        }

        @Override
        public void onError(Throwable error) {
            disconnect();
        }

        @Override
        public void onCompleted() {
            disconnect();
        }

        void disconnect() {
            end();
            if (vm != null && links.remove(vm, this)) {
                events.accept(new PoolEvent.EntryLinkDown(vm));
            }
        }

        private synchronized void end() {
            if (ended) {
                return;
            }
            ended = true;
            if (!out.isCancelled()) {
                out.onCompleted();
            }
        }
    }
}
