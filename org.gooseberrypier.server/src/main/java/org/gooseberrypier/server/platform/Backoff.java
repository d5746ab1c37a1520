package org.gooseberrypier.server.platform;

import java.util.function.DoubleSupplier;

/** Exponential backoff with jitter between failed attempts; delays double after each failure up to a maximum. */
final class Backoff {

    private static final long INITIAL_DELAY_MS = 100;
    private static final long MAX_DELAY_MS = 4_000;

    private final DoubleSupplier random;
    private long currentMaxMs = INITIAL_DELAY_MS;

    /**
     * Creates a backoff that begins with the shortest delay.
     *
     * @param random the source of the jitter, numbers from 0 to 1
     */
    Backoff(DoubleSupplier random) {
        this.random = random;
    }

    /** Returns the next delay, between half of the current maximum and all of it, and doubles the current maximum. */
    long nextMs() {
        long half = currentMaxMs / 2;
        long next = half + (long) (half * random.getAsDouble());
        currentMaxMs = Math.min(MAX_DELAY_MS, currentMaxMs * 2);
        return next;
    }

    /** Resets the delay to its initial value after a success. */
    void reset() {
        currentMaxMs = INITIAL_DELAY_MS;
    }
}
