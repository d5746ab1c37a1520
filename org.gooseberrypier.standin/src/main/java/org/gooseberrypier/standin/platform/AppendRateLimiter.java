package org.gooseberrypier.standin.platform;

/** Limits the number of appends in each second of the clock. */
final class AppendRateLimiter {

    private static final long SECOND_MS = 1_000;

    private long second;
    private int acquired;

    /** Counts one append and returns true, or returns false if the limit of this second is reached. */
    synchronized boolean tryAcquire(int maxPerSecond, long nowMs) {
        long now = nowMs / SECOND_MS;
        if (now != second) {
            second = now;
            acquired = 0;
        }
        if (acquired >= maxPerSecond) {
            return false;
        }
        acquired++;
        return true;
    }
}
