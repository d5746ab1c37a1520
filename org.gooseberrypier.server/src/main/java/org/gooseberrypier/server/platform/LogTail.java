package org.gooseberrypier.server.platform;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.log.StreamId;

/**
 * Tails one log stream: requests the next records as soon as the sink accepted the previous ones, with a backoff after
 * failures.
 *
 * <p>After a failure the last record is read again, so that the consumer can detect whether it is still the same
 * stream. At most one read is open and at most one page is held, so that a slow consumer slows down the reads.
 */
final class LogTail {

    /** Long-poll timeout of a read, in milliseconds; a silent connection is detected shortly after it. */
    static final long POLL_TIMEOUT_MS = 4_000;

    private static final long MIN_EMPTY_READ_INTERVAL_MS = 250;
    private static final long SINK_RETRY_DELAY_MS = 20;

    private final PlatformClient client;
    private final ScheduledExecutorService timers;
    private final EventSink sink;
    private final StreamId stream;
    private final Backoff backoff =
            new Backoff(() -> ThreadLocalRandom.current().nextDouble());
    private long from;
    private boolean failed;
    private volatile boolean closed;

    LogTail(PlatformClient client, ScheduledExecutorService timers, EventSink sink, StreamId stream) {
        this.client = client;
        this.timers = timers;
        this.sink = sink;
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
        long startedNanos = System.nanoTime();
        long begin = failed ? Math.max(0, from - 1) : from;
        client.read(stream, begin, POLL_TIMEOUT_MS).whenComplete((page, error) -> {
            failed = error != null;
            if (closed) {
                return;
            }
            if (failed) {
                sink.offer(new LogEvent.ReadFailed(stream, error.toString()));
                scheduleRead(backoff.nextMs());
            } else {
                backoff.reset();
                deliver(begin, page, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos));
            }
        });
    }

    private void deliver(long begin, LogPage page, long tookMs) {
        if (closed) {
            return;
        }
        LogEvent.Read event = new LogEvent.Read(stream, begin, page.firstOffset(), page.nextOffset(), page.records());
        if (!sink.offer(event)) {
            timers.schedule(() -> deliver(begin, page, tookMs), SINK_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        from = Math.max(from, page.nextReadOffset(begin));
        if (page.records().isEmpty() && tookMs < MIN_EMPTY_READ_INTERVAL_MS) {
            scheduleRead(MIN_EMPTY_READ_INTERVAL_MS);
        } else {
            read();
        }
    }

    private void scheduleRead(long delayMs) {
        if (!closed) {
            timers.schedule(this::read, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
