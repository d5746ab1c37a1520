package org.gooseberrypier.server.pool;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.server.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a check for silent peers on an event loop at an interval, and tells it how long the loop was blocked before. */
final class LoopCheck implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(LoopCheck.class);

    /** Checks peers for silence. */
    interface Check {

        /**
         * Runs the check.
         *
         * @param blockedMs how long the loop was blocked before this run, in milliseconds; messages that arrived meanwhile may
         *     not have been received yet
         */
        void run(long blockedMs);
    }

    private final String name;
    private final LoopLag lag;
    private final Check check;
    private final ScheduledFuture<?> timer;

    /**
     * Starts the check.
     *
     * @param name the name of the check, for the log
     * @param loop the event loop that receives the peers' messages
     * @param intervalMs the interval, in milliseconds
     * @param check the check; it runs on the event loop
     */
    LoopCheck(String name, ScheduledExecutorService loop, long intervalMs, Check check) {
        this.name = name;
        this.check = check;
        this.lag = new LoopLag(intervalMs, System.nanoTime());
        this.timer = loop.scheduleWithFixedDelay(this::run, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the event loop is blocked or was blocked until its last run; may be called on any thread. */
    boolean isBlocked() {
        return lag.isBlocked(System.nanoTime());
    }

    private void run() {
        try {
            long blockedMs = lag.onRun(System.nanoTime());
            if (blockedMs > 0) {
                LOG.info("event=loop_blocked check={} blocked_ms={}", name, blockedMs);
            }
            check.run(blockedMs);
        } catch (RuntimeException e) {
            // An exception would end the timer, and silent peers would not be noticed any more.
            LOG.error("event=check_failed check={} error={}", name, LogText.quote(e), e);
        }
    }

    @Override
    public void close() {
        timer.cancel(false);
    }
}
