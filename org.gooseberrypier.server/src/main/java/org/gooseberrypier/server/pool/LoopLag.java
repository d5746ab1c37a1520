package org.gooseberrypier.server.pool;

import java.util.concurrent.TimeUnit;

/**
 * Tells whether an event loop was blocked, from the times at which a periodic task ran on it. While a loop is blocked, or the
 * processor is taken away from it, messages that have arrived are not received, so that silence of other VMs means nothing.
 *
 * <p>{@link #onRun} is called on the loop; {@link #isBlocked} may be called on any thread. All times are of the monotonic
 * clock, in nanoseconds.
 */
final class LoopLag {

    /** Delay of a run above which the loop counts as blocked, in milliseconds; twice the usual pauses of a small VM. */
    static final long MAX_DELAY_MS = 100;

    private final long intervalNanos;
    private volatile long lastRunNanos;
    private volatile boolean late;

    /**
     * Creates the state of a loop that is not blocked.
     *
     * @param intervalMs the interval of the task, in milliseconds
     * @param nowNanos the current time
     */
    LoopLag(long intervalMs, long nowNanos) {
        intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMs);
        lastRunNanos = nowNanos;
    }

    /**
     * Records a run of the task.
     *
     * @return how long the loop was blocked before the run, in milliseconds; 0 if the run was in time, and also if the run
     *     before it was late, since messages that arrived during the first blockage have been received by then
     */
    long onRun(long nowNanos) {
        boolean exempt = late;
        late = isOverdue(nowNanos);
        long blockedNanos = late && !exempt ? nowNanos - lastRunNanos - intervalNanos : 0;
        lastRunNanos = nowNanos;
        return TimeUnit.NANOSECONDS.toMillis(blockedNanos);
    }

    /** Returns whether the task is overdue, or was late when it ran last. */
    boolean isBlocked(long nowNanos) {
        return late || isOverdue(nowNanos);
    }

    private boolean isOverdue(long nowNanos) {
        return nowNanos - lastRunNanos > intervalNanos + TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS);
    }
}
