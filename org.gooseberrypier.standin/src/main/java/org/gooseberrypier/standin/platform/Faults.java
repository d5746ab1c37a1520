package org.gooseberrypier.standin.platform;

/**
 * Fault injection settings and limits of the stand-in platform.
 *
 * @param down whether requests stay unanswered; requests to {@code /control} are answered all the same
 * @param delayMs the delay before a request is processed, in milliseconds
 * @param lostAnswers the fraction of appends, from 0 to 1, that take effect but are never answered
 * @param maxAppendsPerSecond the limit of appends per second; further ones are refused with 429
 * @param retentionMs how long a record is kept, in milliseconds
 * @param maxStreamBytes the maximum size of one stream in bytes; the oldest records are dropped first
 * @param vmListLagMs the age of the list of VMs that is returned, in milliseconds
 */
public record Faults(
        boolean down,
        long delayMs,
        double lostAnswers,
        int maxAppendsPerSecond,
        long retentionMs,
        long maxStreamBytes,
        long vmListLagMs) {

    /** No faults, with the limits of a platform that works normally. */
    public static final Faults NONE = new Faults(false, 0, 0, 500, 24 * 3_600_000L, 256L << 20, 1_000);

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public Faults {
        if (delayMs < 0 || lostAnswers < 0 || lostAnswers > 1 || maxAppendsPerSecond < 0) {
            throw new IllegalArgumentException(
                    "delayMs and maxAppendsPerSecond are not negative, lostAnswers is from 0 to 1");
        }
        if (retentionMs < 1 || maxStreamBytes < 1 || vmListLagMs < 0) {
            throw new IllegalArgumentException(
                    "retentionMs and maxStreamBytes are positive, vmListLagMs is not negative");
        }
    }

    /**
     * Returns a copy with another value of {@code down}.
     *
     * @param value whether requests stay unanswered
     * @return the copy
     */
    public Faults withDown(boolean value) {
        return new Faults(value, delayMs, lostAnswers, maxAppendsPerSecond, retentionMs, maxStreamBytes, vmListLagMs);
    }

    /**
     * Returns a copy with another value of {@code delayMs}.
     *
     * @param value the delay in milliseconds
     * @return the copy
     */
    public Faults withDelayMs(long value) {
        return new Faults(down, value, lostAnswers, maxAppendsPerSecond, retentionMs, maxStreamBytes, vmListLagMs);
    }

    /**
     * Returns a copy with another value of {@code lostAnswers}.
     *
     * @param value the fraction from 0 to 1
     * @return the copy
     */
    public Faults withLostAnswers(double value) {
        return new Faults(down, delayMs, value, maxAppendsPerSecond, retentionMs, maxStreamBytes, vmListLagMs);
    }
}
