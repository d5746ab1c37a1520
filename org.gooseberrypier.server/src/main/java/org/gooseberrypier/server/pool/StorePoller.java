package org.gooseberrypier.server.pool;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import org.gooseberrypier.server.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Long-polls the records of one kind in the store; at most one read is open at a time.
 *
 * @param <T> the type of the decoded records
 */
final class StorePoller<T> {

    private static final Logger LOG = LoggerFactory.getLogger(StorePoller.class);

    /**
     * Delay after a failed read, in milliseconds; the retries of half of all VMs stay far below the store's rate limit.
     */
    private static final long RETRY_DELAY_MS = 200;

    /**
     * Delay between a successful read and the next one, in milliseconds; it bounds the rate of reads that the store
     * answers early, without waiting for a record.
     */
    private static final long READ_DELAY_MS = 20;

    private final String name;
    private final ScheduledExecutorService timers;
    private final long pollTimeoutMs;
    private final BiFunction<Long, Long, CompletableFuture<PoolStore.Page<T>>> reader;
    private final Sink<T> sink;
    private long nextOffset = PoolStore.NEWEST;
    private boolean failing;
    private long requestedAtMs;
    private volatile boolean closed;

    /** Receives the pages that were read. */
    interface Sink<T> {

        /** Handles a page; {@code requestedAtMs} is when the read was sent, by the monotonic clock in milliseconds. */
        void accept(PoolStore.Page<T> page, long requestedAtMs);
    }

    StorePoller(
            String name,
            ScheduledExecutorService timers,
            long pollTimeoutMs,
            BiFunction<Long, Long, CompletableFuture<PoolStore.Page<T>>> reader,
            Sink<T> sink) {
        this.name = name;
        this.timers = timers;
        this.pollTimeoutMs = pollTimeoutMs;
        this.reader = reader;
        this.sink = sink;
    }

    void start() {
        if (!closed) {
            requestedAtMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            read().whenComplete(this::handleResult);
        }
    }

    private CompletableFuture<PoolStore.Page<T>> read() {
        try {
            return reader.apply(nextOffset, pollTimeoutMs);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    void close() {
        closed = true;
    }

    private void handleResult(PoolStore.Page<T> page, Throwable error) {
        long delayMs = RETRY_DELAY_MS;
        if (error != null) {
            if (!failing) {
                failing = true;
                LOG.warn("event=store_lost records={} error=\"{}\"", name, error.getMessage());
            }
            nextOffset = PoolStore.NEWEST;
        } else {
            if (failing) {
                failing = false;
                LOG.info("event=store_regained records={}", name);
            }
            nextOffset = page.nextOffset();
            delayMs = READ_DELAY_MS;
            accept(page);
        }
        if (!closed) {
            timers.schedule(this::start, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Passes a page on; a failure must not end the polling. */
    private void accept(PoolStore.Page<T> page) {
        try {
            sink.accept(page, requestedAtMs);
        } catch (RuntimeException e) {
            LOG.error("event=page_not_applied records={} error={}", name, LogText.quote(e), e);
        }
    }
}
