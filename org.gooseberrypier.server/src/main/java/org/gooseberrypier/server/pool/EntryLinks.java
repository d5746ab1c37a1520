package org.gooseberrypier.server.pool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
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
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.protocol.PoolServiceGrpc;
import org.gooseberrypier.protocol.ToEntryProto;
import org.gooseberrypier.protocol.ToOwnerProto;
import org.gooseberrypier.server.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts the gRPC streams of entry VMs to this VM and closes streams that become silent. */
final class EntryLinks implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EntryLinks.class);
    /** Interval of the check for silent links, in milliseconds; a quarter of the silence timeout. */
    private static final long CHECK_INTERVAL_MS = 100;

    private final EventLoopGroup group;
    private final Consumer<PoolEvent> events;
    private final Server server;
    private final LoopCheck silenceCheck;
    /** The current link of each VM; changed and reported with its lock held, so that reports have the order of the changes. */
    private final Map<VmIncarnation, Link> links = new ConcurrentHashMap<>();

    private long lastNumber;

    EntryLinks(HostPort address, EventLoopGroup group, Consumer<PoolEvent> events) {
        this.group = group;
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
        silenceCheck = new LoopCheck("entry_links", group.next(), CHECK_INTERVAL_MS, this::closeSilentLinks);
    }

    /** Returns the address that this VM listens on, with the actual port if it was opened with port 0. */
    HostPort address() {
        InetSocketAddress a = (InetSocketAddress) server.getListenSockets().get(0);
        return new HostPort(a.getAddress().getHostAddress(), a.getPort());
    }

    /** Sends a message to an entry VM; a link that fails is closed and reported by {@link PoolEvent.EntryLinkDown}. */
    void send(PoolEffect.SendToEntry effect) {
        Link link = links.get(effect.vm());
        if (link == null) {
            return;
        }
        ToEntryProto encoded = PoolMessageCodec.encode(effect.message());
        if (effect.message() instanceof PoolMessage.Heartbeat) {
            link.sender.sendPeriodic(encoded);
        } else {
            link.sender.send(encoded);
        }
    }

    /** Returns whether the event loop of this VM is or was blocked, so that messages of other VMs may wait unread. */
    boolean isLoopBlocked() {
        return silenceCheck.isBlocked();
    }

    private void closeSilentLinks(long blockedMs) {
        if (blockedMs > 0) {
            events.accept(new PoolEvent.LoopBlocked(blockedMs));
            return;
        }
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
        silenceCheck.close();
        server.shutdownNow();
    }

    /** Accepts streams; tests attach streams without a connection. */
    final class Service extends PoolServiceGrpc.PoolServiceImplBase {

        @Override
        public StreamObserver<ToOwnerProto> attach(StreamObserver<ToEntryProto> out) {
            return new Link((ServerCallStreamObserver<ToEntryProto>) out);
        }
    }

    private final class Link implements StreamObserver<ToOwnerProto> {

        private final StreamSender<ToEntryProto> sender;
        private volatile VmIncarnation vm;
        private volatile long number;
        private volatile long lastReceivedNanos = System.nanoTime();

        Link(ServerCallStreamObserver<ToEntryProto> out) {
            // The failure is published by an event loop: the core's thread, which sends, cannot wait for room in its
            // ring.
            sender = new StreamSender<>(
                    out, PoolMessageCodec::mergeHeartbeats, reason -> group.execute(() -> onSendFailure(reason)));
            out.setOnReadyHandler(sender::drain);
            // With a handler, gRPC drops messages to a cancelled stream instead of throwing.
            out.setOnCancelHandler(this::disconnect);
        }

        @Override
        public void onNext(ToOwnerProto message) {
            lastReceivedNanos = System.nanoTime();
            if (message.hasHello()) {
                attach(
                        PoolMessageCodec.decode(message.getHello()),
                        message.getLink(),
                        message.getAcknowledgesHeartbeats());
            } else if (vm != null && links.get(vm) == this) {
                PoolMessageCodec.decode(message)
                        .ifPresent(m -> events.accept(new PoolEvent.EntryMessageReceived(vm, number, m)));
            }
        }

        private void attach(VmIncarnation from, long sentNumber, boolean acknowledgesHeartbeats) {
            Link previous;
            synchronized (links) {
                previous = links.get(from);
                // VMs of earlier versions do not number their links.
                number = sentNumber == 0 ? ++lastNumber : sentNumber;
                if (previous != null && previous.number > number) {
                    LOG.info("event=outdated_link vm={} link={} current={}", from.address(), number, previous.number);
                    sender.end();
                    return;
                }
                vm = from;
                links.put(from, this);
                if (previous != null) {
                    events.accept(new PoolEvent.EntryLinkDown(from, previous.number));
                }
                events.accept(new PoolEvent.EntryLinkUp(from, number, acknowledgesHeartbeats));
            }
            if (previous != null) {
                previous.sender.end();
            }
            sender.send(ToEntryProto.newBuilder().setWelcome(true).build());
        }

        private void onSendFailure(String reason) {
            LOG.warn("event=entry_link_failed vm={} reason={}", vm == null ? "" : vm.address(), LogText.quote(reason));
            disconnect();
        }

        @Override
        public void onError(Throwable error) {
            disconnect();
        }

        @Override
        public void onCompleted() {
            disconnect();
        }

        /** Ends the stream and reports the loss of the link, once. */
        void disconnect() {
            sender.end();
            synchronized (links) {
                if (vm != null && links.remove(vm, this)) {
                    events.accept(new PoolEvent.EntryLinkDown(vm, number));
                }
            }
        }
    }
}
