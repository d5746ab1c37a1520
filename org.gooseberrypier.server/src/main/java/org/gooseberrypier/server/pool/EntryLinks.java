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

/** The streams that other VMs opened to this one. */
final class EntryLinks implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EntryLinks.class);
    /** How often silent links are looked for, in milliseconds; a quarter of the silence that ends one. */
    private static final long CHECK_MS = 100;

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
        group.next().scheduleWithFixedDelay(this::check, CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
    }

    void send(PoolEffect.SendToEntry effect) {
        Link link = links.get(effect.vm());
        if (link != null) {
            link.send(PoolMessageCodec.encode(effect.message()));
        }
    }

    /** Confirms each VM as soon as it is heard again. */
    void requestConfirmation() {
        links.values().forEach(l -> l.unconfirmed = true);
    }

    private void check() {
        long now = System.nanoTime();
        for (Link l : links.values()) {
            long silentMs = TimeUnit.NANOSECONDS.toMillis(now - l.heardNanos);
            if (silentMs > OwnerLink.SILENCE_TIMEOUT_MS) {
                LOG.warn("event=entry_silent vm={} silent_ms={}", l.vm.address(), silentMs);
                l.lose();
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
        private volatile long heardNanos = System.nanoTime();
        private volatile boolean unconfirmed;
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
            heardNanos = System.nanoTime();
            if (unconfirmed && vm != null) {
                unconfirmed = false;
                events.accept(new PoolEvent.EntryLinkConfirmed(vm));
            }
            if (message.hasHello()) {
                attach(PoolMessageCodec.decode(message.getHello()));
            } else if (vm != null) {
                PoolMessageCodec.decode(message)
                        .ifPresent(m -> events.accept(new PoolEvent.EntryMessageReceived(vm, m)));
            }
        }

        private void attach(VmIncarnation contact) {
            vm = contact;
            Link before = links.put(contact, this);
            if (before != null) {
                before.end();
            }
            events.accept(new PoolEvent.EntryLinkUp(contact));
            send(ToEntryProto.newBuilder().setWelcome(true).build());
        }

        @Override
        public void onError(Throwable error) {
            lose();
        }

        @Override
        public void onCompleted() {
            lose();
        }

        void lose() {
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
