package org.gooseberrypier.load.run;

/**
 * Counts of wasted messages to endpoints, as the stand-in endpoints recorded them.
 *
 * @param duplicate starts after the first of a task that may start once
 * @param refused tasks that an endpoint refused
 * @param repeated starts after the first of a task that may start more than once
 * @param callerGone tasks that ran to their end although the connection of the request was closed
 * @param pastDeadline tasks that ended after their deadline
 */
record WasteCount(long duplicate, long refused, long repeated, long callerGone, long pastDeadline) {

    static final WasteCount NONE = new WasteCount(0, 0, 0, 0, 0);

    WasteCount plus(WasteCount other) {
        return new WasteCount(
                duplicate + other.duplicate,
                refused + other.refused,
                repeated + other.repeated,
                callerGone + other.callerGone,
                pastDeadline + other.pastDeadline);
    }

    long sum() {
        return duplicate + refused + repeated + callerGone + pastDeadline;
    }
}
