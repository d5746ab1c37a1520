package org.gooseberrypier.standin.platform;

/** Counts appends against a bound for each second. */
final class AppendRateLimiter {

    private static final long SECOND_MS = 1_000;

    private long second;
    private int taken;

    /** Takes one append if the bound allows it. */
    synchronized boolean tryAcquire(int maxPerSecond, long nowMs) {
        long now = nowMs / SECOND_MS;
        if (now != second) {
            second = now;
            taken = 0;
        }
        if (taken >= maxPerSecond) {
            return false;
        }
        taken++;
        return true;
    }
}
