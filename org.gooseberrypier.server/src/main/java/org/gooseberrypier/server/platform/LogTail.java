package org.gooseberrypier.server.platform;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.log.StreamId;

/**
 * Follows one stream: asks for the next records as soon as the last ones were taken, and waits longer after failures.
 *
 * <p>After a failure the last record is read once more, so that its reader can see whether the stream is still the one
 * that it was. At most one read is open and at most one page is held, so that a slow consumer slows the reads.
 */
final class LogTail {

    /** How long the platform may hold a read open, in milliseconds; a silent connection is noticed soon after. */
    static final long WAIT_MS = 4_000;

    private static final long MIN_IDLE_INTERVAL_MS = 250;
    private static final long BUSY_RETRY_MS = 20;

    private final PlatformClient client;
    private final ScheduledExecutorService timers;
    private final EventSink outlet;
    private final StreamId stream;
    private final Backoff backoff =
            new Backoff(() -> ThreadLocalRandom.current().nextDouble());
    private long from;
    private boolean failed;
    private volatile boolean closed;

    LogTail(PlatformClient client, ScheduledExecutorService timers, EventSink outlet, StreamId stream) {
        this.client = client;
        this.timers = timers;
        this.outlet = outlet;
        this.stream = stream;
    }

    void start() {
        read();
    }

    void close() {
        closed = true;
    }

    private void read() {
        if (closed) {
            return;
        }
        long startedNs = System.nanoTime();
        long begin = failed ? Math.max(0, from - 1) : from;
        client.read(stream, begin, WAIT_MS).whenComplete((page, error) -> {
            failed = error != null;
            if (closed) {
                return;
            }
            if (failed) {
                outlet.offer(new LogEvent.ReadFailed(stream, error.toString()));
                readLater(backoff.nextMs());
            } else {
                backoff.reset();
                take(begin, page, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs));
            }
        });
    }

    private void take(long begin, LogPage page, long tookMs) {
        if (closed) {
            return;
        }
        LogEvent.Read event = new LogEvent.Read(stream, begin, page.firstOffset(), page.nextOffset(), page.records());
        if (!outlet.offer(event)) {
            timers.schedule(() -> take(begin, page, tookMs), BUSY_RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        from = Math.max(from, page.nextReadOffset(begin));
        if (page.records().isEmpty() && tookMs < MIN_IDLE_INTERVAL_MS) {
            readLater(MIN_IDLE_INTERVAL_MS);
        } else {
            read();
        }
    }

    private void readLater(long delayMs) {
        if (!closed) {
            timers.schedule(this::read, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
