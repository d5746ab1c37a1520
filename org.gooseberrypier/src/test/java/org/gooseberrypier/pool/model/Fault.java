package org.gooseberrypier.pool.model;

/** Kinds of faults; how long one lasts is chosen when it begins. */
enum Fault {
    /**
     * The stream ends at the entry VM; the owner does not notice before the next stream or its silence timeout. The number is
     * that of the messages under way that still arrive.
     */
    STREAM_LOST(0, 1, 99),
    /** Messages to the owner are held back. */
    STALL_TO_OWNER(1, 3, 5),
    /** Messages of the owner are held back. */
    STALL_TO_ENTRY(1, 3, 5),
    /** The core of the entry VM handles no event. */
    CORE_LATE(1, 3, 7),
    /** The entry VM skips its ticks and handles all other events. */
    TICKS_SKIPPED(5, 15),
    /** The endpoint carries out a start late. */
    START_LATE(3, 9),
    /** The endpoint carries out no stop. */
    STOP_LOST(99),
    /** The owner that has the job is frozen. */
    OWNER_FROZEN(3, 8, 20),
    /** The caller leaves before its deadline, and its VM does not see it. */
    LEFT_UNSEEN(0);

    /** The durations, in steps. */
    final int[] steps;

    Fault(int... steps) {
        this.steps = steps;
    }
}
