package org.gooseberrypier.pool.model;

/** An endpoint with one task, whose clock loses 2.5 per cent. */
final class Endpoint implements Cloneable {

    private static final int STEP_MS = 100;
    private static final double SLOW_CLOCK = 1.025;
    private static final int NONE = -1;

    private int leaseEndMs = NONE;
    private int pendingStep = NONE;
    private int pendingEndMs;

    /** Returns when the endpoint's clock reads a time that is known from now on, in milliseconds. */
    private static int realMs(int now, int untilStep) {
        return now * STEP_MS + (int) Math.ceil((untilStep - now) * STEP_MS * SLOW_CLOCK);
    }

    void start(int now, int untilStep, int delay) {
        pendingStep = now + delay;
        pendingEndMs = realMs(now, untilStep);
    }

    /** Extends the lease of a run, also if its owner no longer wants it: another run may be there. */
    void extend(int now, int untilStep) {
        if (untilStep > now && isAtWork(now)) {
            leaseEndMs = Math.max(leaseEndMs, realMs(now, untilStep));
        }
    }

    void stop() {
        leaseEndMs = NONE;
        pendingStep = NONE;
    }

    void carryOut(int now) {
        if (pendingStep != NONE && now >= pendingStep) {
            if (now * STEP_MS < pendingEndMs) {
                leaseEndMs = Math.max(leaseEndMs, pendingEndMs);
            }
            pendingStep = NONE;
        }
        if (!isAtWork(now)) {
            leaseEndMs = NONE;
        }
    }

    boolean isAtWork(int now) {
        return now * STEP_MS < leaseEndMs;
    }

    boolean isFree(int now) {
        return !isAtWork(now) && pendingStep == NONE;
    }

    Endpoint copy() {
        try {
            return (Endpoint) clone();
        } catch (CloneNotSupportedException e) {
            throw new AssertionError(e);
        }
    }

    void appendTo(StringBuilder key) {
        key.append((char) (leaseEndMs + 1)).append((char) (pendingStep + 1)).append((char)
                (pendingStep == NONE ? 0 : pendingEndMs));
    }
}
