package org.gooseberrypier.soak;

/** How a caller leaves whose job has not been answered. */
enum Leaving {
    /** Closes its connection at its deadline. */
    CLOSE,
    /** Closes its side of the connection at its deadline and does not read any more. */
    HALF_CLOSE,
    /** Stops waiting at its deadline; its connection stays open. */
    SILENT,
    /** Closes its connection before its deadline. */
    EARLY_CLOSE,
    /** Stops waiting before its deadline; its connection stays open. */
    EARLY_SILENT,
    /** Sends the end of its request late, and stops waiting at its deadline, counted from the first byte. */
    LATE_REQUEST;

    boolean isEarly() {
        return this == EARLY_CLOSE || this == EARLY_SILENT;
    }

    boolean isSilent() {
        return this == SILENT || this == EARLY_SILENT || this == LATE_REQUEST;
    }
}
