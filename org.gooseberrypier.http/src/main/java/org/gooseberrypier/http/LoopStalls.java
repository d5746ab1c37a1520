package org.gooseberrypier.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds when bytes arrived that an event loop reads, from the times at which a periodic task runs on the loop. While the loop
 * is blocked, or the processor is taken away from it, bytes wait in the kernel, also those of connections that are not accepted
 * yet.
 *
 * <p>All methods are called on the loop. All times are of the monotonic clock, in nanoseconds.
 */
final class LoopStalls {

    /** Interval of the task, in milliseconds; a shorter blockage may stay unseen. */
    static final long INTERVAL_MS = 20;

    /** Delay of the task above which the loop counts as blocked, in milliseconds. */
    static final long MAX_DELAY_MS = 10;

    /** Time after a blockage within which all bytes are read that arrived during it, in milliseconds. */
    static final long CATCH_UP_MS = 100;

    private static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS + MAX_DELAY_MS);
    private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(CATCH_UP_MS);

    /** The blockages after which bytes may still be unread, the oldest first. */
    private final Deque<Stall> stalls = new ArrayDeque<>();

    private long lastRunNanos;

    /**
     * Time during which a loop may have been blocked.
     *
     * @param sinceNanos the last run of the task before it
     * @param untilNanos the first run of the task after it
     */
    private record Stall(long sinceNanos, long untilNanos) {}

    LoopStalls(long nowNanos) {
        lastRunNanos = nowNanos;
    }

    /** Records a run of the task. */
    void onRun(long nowNanos) {
        forgetBefore(nowNanos);
        if (isOverdue(nowNanos)) {
            stalls.add(new Stall(lastRunNanos, nowNanos));
        }
        lastRunNanos = nowNanos;
    }

    /** Returns the earliest time at which bytes may have arrived that are read now. */
    long earliestArrivalNanos(long nowNanos) {
        forgetBefore(nowNanos);
        if (!stalls.isEmpty()) {
            return stalls.peek().sinceNanos();
        }
        return isOverdue(nowNanos) ? lastRunNanos : nowNanos;
    }

    private boolean isOverdue(long nowNanos) {
        return nowNanos - lastRunNanos > MAX_GAP_NANOS;
    }

    private void forgetBefore(long nowNanos) {
        while (!stalls.isEmpty() && nowNanos - stalls.peek().untilNanos() > CATCH_UP_NANOS) {
            stalls.poll();
        }
    }
}
