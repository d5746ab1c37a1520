package org.gooseberrypier.server.pool;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the records of one kind in the store by one read after the other.
 *
 * @param <T> what the records hold
 */
final class StorePoller<T> {

    private static final Logger LOG = LoggerFactory.getLogger(StorePoller.class);

    /** Pause after a failed read, in milliseconds; half of all VMs together stay far below the store's rate. */
    private static final long RETRY_MS = 200;

    /** A read that came back sooner without a record is followed by a pause, in milliseconds. */
    private static final long MIN_INTERVAL_MS = 20;

    private final String name;
    private final ScheduledExecutorService timers;
    private final long waitMs;
    private final BiFunction<Long, Long, CompletableFuture<PoolStore.Page<T>>> reader;
    private final Sink<T> sink;
    private long from = PoolStore.NEWEST;
    private boolean lost;
    private long askedAtMs;
    private volatile boolean closed;

    /** Takes what was read. */
    interface Sink<T> {

        /** Takes a page that was asked for at the given time of the steady clock, in milliseconds. */
        void accept(PoolStore.Page<T> page, long askedAtMs);
    }

    StorePoller(
            String name,
            ScheduledExecutorService timers,
            long waitMs,
            BiFunction<Long, Long, CompletableFuture<PoolStore.Page<T>>> reader,
            Sink<T> sink) {
        this.name = name;
        this.timers = timers;
        this.waitMs = waitMs;
        this.reader = reader;
        this.sink = sink;
    }

    void start() {
        if (!closed) {
            askedAtMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            reader.apply(from, waitMs).whenComplete(this::take);
        }
    }

    void close() {
        closed = true;
    }

    private void take(PoolStore.Page<T> page, Throwable error) {
        long pauseMs = RETRY_MS;
        if (error != null) {
            if (!lost) {
                lost = true;
                LOG.warn("event=store_lost records={} error=\"{}\"", name, error.getMessage());
            }
            from = PoolStore.NEWEST;
        } else {
            if (lost) {
                lost = false;
                LOG.info("event=store_regained records={}", name);
            }
            from = page.nextOffset();
            pauseMs = MIN_INTERVAL_MS;
            sink.accept(page, askedAtMs);
        }
        if (!closed) {
            timers.schedule(this::start, pauseMs, TimeUnit.MILLISECONDS);
        }
    }
}
