package org.gooseberrypier.internal.placement;

import org.gooseberrypier.api.DispatcherSettings;

/** The times of the credit exchange that follow from one setting, which weighs response time against messages. */
final class CreditIntervals {

    private static final long MIN_SWEEP_MS = 200;
    private static final long MIN_RECALL_INTERVAL_MS = 300;
    private static final long TICKS_PER_SWEEP = 4;
    private static final long TICKS_PER_RECALL = 15;
    private static final long MESSAGE_MS = 100;

    private CreditIntervals() {}

    /** Returns how often idle credits of a scarce endpoint are returned, in milliseconds. */
    static long tickIntervalMs(DispatcherSettings settings) {
        return settings.creditReturnMs();
    }

    /** Returns how often other idle credits are returned, in milliseconds. */
    static long sweepIntervalMs(DispatcherSettings settings) {
        return Math.max(MIN_SWEEP_MS, TICKS_PER_SWEEP * settings.creditReturnMs());
    }

    /** Returns how often an owner recalls credits while tasks wait, in milliseconds. */
    static long recallIntervalMs(DispatcherSettings settings) {
        return Math.max(MIN_RECALL_INTERVAL_MS, TICKS_PER_RECALL * settings.creditReturnMs());
    }

    /** Returns how long endpoints count as scarce after a recall, in milliseconds. */
    static long scarcityDurationMs(DispatcherSettings settings) {
        return recallIntervalMs(settings) + MESSAGE_MS;
    }
}
