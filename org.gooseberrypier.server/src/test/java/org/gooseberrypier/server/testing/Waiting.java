package org.gooseberrypier.server.testing;

import java.util.function.BooleanSupplier;

/** Waits for a condition for a bounded time. */
public final class Waiting {

    private static final long TIMEOUT_MS = 20_000;
    private static final long POLL_INTERVAL_MS = 5;

    private Waiting() {}

    /**
     * Waits until a condition holds.
     *
     * @param description the description of the condition for the error message
     * @param condition the condition
     * @throws AssertionError if the condition does not hold in time
     */
    public static void until(String description, BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within " + TIMEOUT_MS + " ms: " + description);
            }
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
