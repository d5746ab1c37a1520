package org.gooseberrypier.server.pool;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.protocol.PoolServiceGrpc;
import org.gooseberrypier.protocol.ToEntryProto;
import org.gooseberrypier.protocol.ToOwnerProto;
import org.gooseberrypier.server.ConnectErrors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a stream to the owner of the pool open: a failed or silent stream is replaced until the link is closed.
 *
 * <p>The state is accessed only on one event loop.
 */
final class OwnerLink {

    /**
     * Time without a received message after which a link is closed, in milliseconds; covers three heartbeats and the
     * network delay.
     */
    static final long SILENCE_TIMEOUT_MS = 400;

    /** Interval of the keep-alive messages to the owner, in milliseconds. */
    private static final long KEEP_ALIVE_INTERVAL_MS = 100;

    /** Timeout of the first answer on a new stream, in milliseconds; allows for a peer that has just started. */
    private static final long WELCOME_TIMEOUT_MS = 1_000;

    /**
     * Delay before a reconnect, in milliseconds; shorter than the time for which successors wait for the owner's link.
     */
    private static final long RECONNECT_DELAY_MS = 40;

    /** Timeout of a connection attempt, in milliseconds; a VM that is silent for this long counts as lost. */
    private static final int CONNECT_TIMEOUT_MS = (int) SILENCE_TIMEOUT_MS;

    private static final Logger LOG = LoggerFactory.getLogger(OwnerLink.class);

    private final VmIncarnation self;
    private final String peer;
    private final EventLoop loop;
    private final Consumer<PoolEvent> events;
    private final ScheduledFuture<?> timer;
    private Attempt attempt;
    private boolean closed;

    OwnerLink(VmIncarnation self, String peer, EventLoop loop, Consumer<PoolEvent> events) {
        this.self = self;
        this.peer = peer;
        this.loop = loop;
        this.events = events;
        this.timer = loop.scheduleWithFixedDelay(
                this::checkSilence, KEEP_ALIVE_INTERVAL_MS, KEEP_ALIVE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.execute(this::connect);
    }

    void send(PoolMessage.ToOwner message) {
        ToOwnerProto encoded = PoolMessageCodec.encode(message);
        loop.execute(() -> {
            if (attempt != null) {
                attempt.out.onNext(encoded);
            }
        });
    }

    void close() {
        loop.execute(() -> {
            closed = true;
            timer.cancel(false);
            if (attempt != null) {
                attempt.channel.shutdownNow();
                attempt = null;
            }
        });
    }

    private void connect() {
        if (!closed && attempt == null) {
            attempt = new Attempt();
            attempt.open();
        }
    }

    private void checkSilence() {
        if (attempt == null) {
            return;
        }
        long silentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - attempt.lastReceivedNanos);
        if (silentMs > (attempt.welcomed ? SILENCE_TIMEOUT_MS : WELCOME_TIMEOUT_MS)) {
            LOG.warn("event=owner_silent peer={} silent_ms={}", peer, silentMs);
            closeAndReconnect(attempt, false);
        } else {
            attempt.out.onNext(ToOwnerProto.newBuilder().setAlive(true).build());
        }
    }

    private void closeAndReconnect(Attempt failed, boolean refused) {
        if (attempt != failed) {
            return;
        }
        attempt = null;
        failed.channel.shutdownNow();
        events.accept(new PoolEvent.OwnerLinkDown(peer, refused));
        loop.schedule(this::connect, RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** One connection with one stream; it is not reopened after a failure. */
    private final class Attempt implements StreamObserver<ToEntryProto> {

        private final ManagedChannel channel;
        private StreamObserver<ToOwnerProto> out;
        private long lastReceivedNanos = System.nanoTime();
        private boolean welcomed;

        Attempt() {
            channel = NettyChannelBuilder.forAddress(HostPort.parse(peer).toSocketAddress())
                    .eventLoopGroup(loop)
                    .channelType(NioSocketChannel.class)
                    .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .withOption(ChannelOption.TCP_NODELAY, true)
                    .proxyDetector(target -> null)
                    .usePlaintext()
                    .disableRetry()
                    .directExecutor()
                    .build();
        }

        void open() {
            out = PoolServiceGrpc.newStub(channel).attach(this);
            out.onNext(ToOwnerProto.newBuilder()
                    .setHello(PoolMessageCodec.encode(self))
                    .build());
        }

        @Override
        public void onNext(ToEntryProto message) {
            loop.execute(() -> receive(message));
        }

        private void receive(ToEntryProto message) {
            if (attempt != this) {
                return;
            }
            lastReceivedNanos = System.nanoTime();
            if (message.getWelcome()) {
                welcomed = true;
                events.accept(new PoolEvent.OwnerLinkUp(peer));
            }
            PoolMessageCodec.decode(message).ifPresent(m -> events.accept(new PoolEvent.OwnerMessageReceived(peer, m)));
        }

        @Override
        public void onError(Throwable error) {
            loop.execute(() -> closeAndReconnect(this, ConnectErrors.isRefused(error)));
        }

        @Override
        public void onCompleted() {
            onError(Status.CANCELLED.asRuntimeException());
        }
    }
}
