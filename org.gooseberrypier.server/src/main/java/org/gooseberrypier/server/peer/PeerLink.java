package org.gooseberrypier.server.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.protocol.Envelope;
import org.gooseberrypier.server.ConnectErrors;
import org.gooseberrypier.server.log.LogText;
import org.gooseberrypier.server.settings.PeerSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages to one peer through a bounded queue and an outgoing stream.
 *
 * <p>A stream that fails, or on which a ping is not answered in time, is replaced by a new stream on a new connection.
 * A message that was passed to one stream is never passed to another, so that it is delivered at most once. The state
 * is accessed only on one event loop.
 */
final class PeerLink {

    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
    private static final long MIN_BACKOFF_MS = 50;
    private static final double MIN_JITTER_FACTOR = 0.5;

    private final VmId vm;
    private final HostPort address;
    private final EventLoop loop;
    private final PeerSettings settings;
    private final PeerCounters counters;
    private final PeerEventSink events;
    private final Deque<Envelope> queue = new ArrayDeque<>();
    private final CompletableFuture<Void> termination = new CompletableFuture<>();
    private final ScheduledFuture<?> pingTimer;
    private long queuedBytes;
    private PeerStream stream;
    private boolean up;
    private boolean closing;
    private boolean completionSent;
    private boolean sentSincePing;
    private long lastPing;
    private long pingSentNanos;
    private boolean pingPending;
    private long backoffMs = MIN_BACKOFF_MS;

    PeerLink(
            VmId vm,
            HostPort address,
            EventLoop loop,
            PeerSettings settings,
            PeerCounters counters,
            PeerEventSink events) {
        this.vm = vm;
        this.address = address;
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        this.events = events;
        loop.execute(this::connect);
        pingTimer = loop.scheduleWithFixedDelay(
                this::checkSilence, settings.pingMs(), settings.pingMs(), TimeUnit.MILLISECONDS);
    }

    HostPort address() {
        return address;
    }

    void send(Envelope envelope) {
        loop.execute(() -> enqueue(envelope));
    }

    /** Sends the queued messages, then ends the stream; the returned future completes when the stream has ended. */
    CompletableFuture<Void> close() {
        loop.execute(() -> {
            closing = true;
            pingTimer.cancel(false);
            if (stream == null || !up) {
                terminate();
            } else {
                drain();
            }
        });
        return termination;
    }

    /** Ends the stream without sending the queued messages. */
    void abort() {
        loop.execute(() -> {
            closing = true;
            pingTimer.cancel(false);
            terminate();
        });
    }

    private void enqueue(Envelope envelope) {
        int size = envelope.getSerializedSize();
        boolean full = queue.size() >= settings.maxQueuedMessages() || queuedBytes + size > settings.maxQueuedBytes();
        if (full || closing) {
            counters.addDropped(1);
            return;
        }
        queue.add(envelope);
        queuedBytes += size;
        drain();
    }

    private void drain() {
        while (stream != null && stream.isReady() && !queue.isEmpty()) {
            Envelope next = queue.poll();
            int size = next.getSerializedSize();
            queuedBytes -= size;
            sentSincePing = true;
            counters.addSent(size);
            stream.send(next);
        }
        if (closing && queue.isEmpty() && stream != null && !completionSent) {
            completionSent = true;
            stream.complete();
        }
    }

    private void connect() {
        if (closing || stream != null) {
            return;
        }
        stream = PeerStream.open(loop, address, settings, new StreamListener());
        ping();
    }

    private void ping() {
        pingPending = true;
        sentSincePing = false;
        pingSentNanos = System.nanoTime();
        stream.send(Envelope.newBuilder().setPing(++lastPing).build());
    }

    private void checkSilence() {
        if (stream == null) {
            return;
        }
        if (!pingPending) {
            if (sentSincePing) {
                ping();
            }
            return;
        }
        long silentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - pingSentNanos);
        if (silentMs >= settings.silentTimeoutMs()) {
            counters.addSilentStream();
            LOG.warn("event=peer_silent vm={} address={} silent_ms={}", LogText.quote(vm), address, silentMs);
            stream.abort();
            onStreamLost();
        }
    }

    private void onStreamLost() {
        stream = null;
        pingPending = false;
        counters.addDropped(queue.size());
        queue.clear();
        queuedBytes = 0;
        if (up) {
            up = false;
            counters.addPeersUp(-1);
        }
        if (closing) {
            terminate();
            return;
        }
        events.publish(new PeerEvent.LinkDown(vm));
        scheduleReconnect();
    }

    private void scheduleReconnect() {
        double jitter = MIN_JITTER_FACTOR
                + (1 - MIN_JITTER_FACTOR) * ThreadLocalRandom.current().nextDouble();
        loop.schedule(this::connect, (long) (backoffMs * jitter), TimeUnit.MILLISECONDS);
        backoffMs = Math.min(settings.maxBackoffMs(), backoffMs * 2);
    }

    private void terminate() {
        if (stream != null) {
            stream.abort();
            stream = null;
        }
        if (up) {
            up = false;
            counters.addPeersUp(-1);
        }
        termination.complete(null);
    }

    private final class StreamListener implements PeerStream.Listener {

        @Override
        public void onReady() {
            drain();
        }

        @Override
        public void onPong(long number) {
            if (number != lastPing) {
                return;
            }
            pingPending = false;
            if (!up) {
                up = true;
                counters.addPeersUp(1);
                backoffMs = MIN_BACKOFF_MS;
                LOG.info("event=peer_up vm={} address={}", LogText.quote(vm), address);
            }
        }

        @Override
        public void onEnd(Throwable error) {
            if (up && !closing) {
                LOG.info("event=peer_down vm={} address={} error={}", LogText.quote(vm), address, LogText.quote(error));
            }
            if (ConnectErrors.isRefused(error)) {
                events.publish(new PeerEvent.ConnectionRefused(vm));
            }
            onStreamLost();
        }
    }
}
