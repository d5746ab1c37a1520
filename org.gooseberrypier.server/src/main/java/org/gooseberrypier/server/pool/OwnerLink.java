package org.gooseberrypier.server.pool;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.protocol.PoolServiceGrpc;
import org.gooseberrypier.protocol.ToEntryProto;
import org.gooseberrypier.protocol.ToOwnerProto;
import org.gooseberrypier.server.ConnectErrors;
import org.gooseberrypier.server.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a stream to the owner of the pool open: a failed or silent stream is replaced until the link is closed.
 *
 * <p>The state is accessed only on one event loop, except that any thread may close the link.
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

    /** Numbers the streams of this process, so that an owner recognizes an outdated one. */
    private static final AtomicLong STREAMS = new AtomicLong();

    private static final Logger LOG = LoggerFactory.getLogger(OwnerLink.class);

    private final VmIncarnation self;
    private final String peer;
    private final long number;
    private final HostPort address;
    private final EventLoop loop;
    private final Consumer<PoolEvent> events;
    private final LoopCheck silenceCheck;
    private Attempt attempt;
    /** Set at once by the thread that closes the link, so that the loop reports nothing of what it reads later. */
    private volatile boolean closed;
    /** Whether a message was sent since the last check, so that no keep-alive message is needed. */
    private boolean sentSinceCheck;

    OwnerLink(VmIncarnation self, String peer, long number, EventLoop loop, Consumer<PoolEvent> events) {
        this.self = self;
        this.peer = peer;
        this.number = number;
        this.address = HostPort.parse(peer);
        this.loop = loop;
        this.events = events;
        this.silenceCheck = new LoopCheck("owner_link", loop, KEEP_ALIVE_INTERVAL_MS, this::checkSilence);
        loop.execute(this::connect);
    }

    void send(PoolMessage.ToOwner message) {
        ToOwnerProto encoded = PoolMessageCodec.encode(message);
        loop.execute(() -> {
            if (attempt == null) {
                return;
            }
            sentSinceCheck = true;
            if (message instanceof PoolMessage.HeartbeatReceived) {
                attempt.sender.sendPeriodic(encoded);
            } else {
                attempt.sender.send(encoded);
            }
        });
    }

    /**
     * Closes the link. An event that the loop is publishing at this moment may still follow; the core knows by its number that
     * the link was closed.
     */
    void close() {
        // No lock: the loop may wait for room in the core's ring, and the core's thread closes links.
        closed = true;
        loop.execute(() -> {
            silenceCheck.close();
            if (attempt != null) {
                attempt.close();
                attempt = null;
            }
        });
    }

    private void connect() {
        if (closed || attempt != null) {
            return;
        }
        attempt = new Attempt();
        try {
            attempt.open();
        } catch (RuntimeException e) {
            LOG.warn("event=owner_link_failed peer={} reason={}", peer, LogText.quote(e));
            closeAndReconnect(attempt, false);
        }
    }

    private void checkSilence(long blockedMs) {
        if (attempt == null) {
            return;
        }
        long silentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - attempt.lastReceivedNanos);
        if (blockedMs == 0 && silentMs > (attempt.welcomed ? SILENCE_TIMEOUT_MS : WELCOME_TIMEOUT_MS)) {
            LOG.warn("event=owner_silent peer={} silent_ms={}", peer, silentMs);
            closeAndReconnect(attempt, false);
        } else if (!sentSinceCheck) {
            attempt.sender.sendPeriodic(ToOwnerProto.newBuilder().setAlive(true).build());
        }
        sentSinceCheck = false;
    }

    private void closeAndReconnect(Attempt failed, boolean refused) {
        if (attempt != failed) {
            return;
        }
        attempt = null;
        failed.close();
        report(new PoolEvent.OwnerLinkDown(peer, number, refused));
        loop.schedule(this::connect, RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void report(PoolEvent event) {
        if (!closed) {
            events.accept(event);
        }
    }

    /** One connection with one stream; it is not reopened after a failure. */
    private final class Attempt implements ClientResponseObserver<ToOwnerProto, ToEntryProto> {

        private final ManagedChannel channel;
        /** Null until the stream has been started. */
        private StreamSender<ToOwnerProto> sender;

        private long lastReceivedNanos = System.nanoTime();
        private boolean welcomed;

        Attempt() {
            channel = NettyChannelBuilder.forAddress(address.toSocketAddress())
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
            PoolServiceGrpc.newStub(channel).attach(this);
            sender.send(ToOwnerProto.newBuilder()
                    .setHello(PoolMessageCodec.encode(self))
                    .setAcknowledgesHeartbeats(true)
                    .setLink(STREAMS.incrementAndGet())
                    .build());
        }

        void close() {
            if (sender != null) {
                sender.abandon();
            }
            channel.shutdownNow();
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ToOwnerProto> out) {
            sender = new StreamSender<>(out, (earlier, later) -> later, this::onSendFailure);
            out.setOnReadyHandler(sender::drain);
        }

        private void onSendFailure(String reason) {
            LOG.warn("event=owner_link_failed peer={} reason={}", peer, LogText.quote(reason));
            loop.execute(() -> closeAndReconnect(this, false));
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
                report(new PoolEvent.OwnerLinkUp(peer, number));
            }
            PoolMessageCodec.decode(message)
                    .ifPresent(m -> report(new PoolEvent.OwnerMessageReceived(peer, number, m)));
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
