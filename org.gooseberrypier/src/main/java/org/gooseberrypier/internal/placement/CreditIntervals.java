package org.gooseberrypier.internal.placement;

import org.gooseberrypier.api.DispatcherSettings;

/**
 * Derives the intervals of the credit exchange from the setting {@code creditReturnMs}.
 *
 * <p>A short interval improves the response times, a long one reduces the number of messages.
 */
final class CreditIntervals {

    private static final long MIN_SWEEP_INTERVAL_MS = 200;
    private static final long MIN_RECALL_INTERVAL_MS = 300;
    private static final long TICKS_PER_SWEEP = 4;
    private static final long TICKS_PER_RECALL = 15;
    private static final long MESSAGE_DELAY_MS = 100;

    private CreditIntervals() {}

    /** Returns the interval at which idle credits of scarce endpoints are returned, in milliseconds. */
    static long tickIntervalMs(DispatcherSettings settings) {
        return settings.creditReturnMs();
    }

    /** Returns the interval at which other idle credits are returned, in milliseconds. */
    static long sweepIntervalMs(DispatcherSettings settings) {
        return Math.max(MIN_SWEEP_INTERVAL_MS, TICKS_PER_SWEEP * settings.creditReturnMs());
    }

    /** Returns the interval at which an owner recalls credits while tasks wait, in milliseconds. */
    static long recallIntervalMs(DispatcherSettings settings) {
        return Math.max(MIN_RECALL_INTERVAL_MS, TICKS_PER_RECALL * settings.creditReturnMs());
    }

    /** Returns how long the endpoints of an owner count as scarce after its recall, in milliseconds. */
    static long scarcityDurationMs(DispatcherSettings settings) {
        return recallIntervalMs(settings) + MESSAGE_DELAY_MS;
    }
}
