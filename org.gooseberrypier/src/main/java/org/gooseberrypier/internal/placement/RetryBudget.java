package org.gooseberrypier.internal.placement;

/** Limits retries to a fraction of the started attempts, so that retries cannot multiply the load. */
final class RetryBudget {

    private static final double TOKENS_PER_START = 0.1;
    private static final double MAX_TOKENS = 100;

    private double tokens = MAX_TOKENS;

    void taskStarted() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_START);
    }

    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
