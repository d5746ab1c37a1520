package org.gooseberrypier.internal.pool;

import java.util.OptionalLong;

/**
 * Finds out for how long this VM was suspended when its time of day and its steady clock have parted. The steady clock does not
 * count a suspension, and a step of the time of day looks alike. The steady clock of the owner tells them apart: its heartbeats
 * carry its time, which advances during a suspension of this VM.
 *
 * <p>Heartbeats that were sent before this VM resumed are read late and in a burst; they do not show how far the owner's clock
 * is now. Therefore two heartbeats count only if they agree and were received apart.
 */
final class SuspensionCheck {

    /** Time without evidence after which a suspension is assumed, in milliseconds; five heartbeats. */
    static final long TIMEOUT_MS = 500;

    /** Difference of two delays of heartbeats that is not attributed to a suspension, in milliseconds. */
    private static final long TOLERANCE_MS = 50;

    /** Least time between the receipt of two heartbeats of which the second was not in the burst, in milliseconds. */
    private static final long MIN_SPACING_MS = 50;

    /** The token under which the latest heartbeat before the check was sent; it stands for one owner and its clock. */
    private long token;

    private boolean known;
    private long offsetMs;
    private boolean open;
    private long sinceMs;
    private long longestMs;
    private boolean candidate;
    private long candidateMs;
    private long candidateAtMs;
    private OptionalLong suspendedMs = OptionalLong.empty();

    /** Begins a check; a check that has not ended goes on with the sum of the possible suspensions. */
    void begin(long possibleMs, long nowMs) {
        longestMs = possibleMs + (open ? longestMs : 0);
        open = true;
        sinceMs = nowMs;
        candidate = false;
        suspendedMs = OptionalLong.empty();
    }

    /** Returns whether it is not known whether this VM was suspended. */
    boolean isOpen() {
        return open;
    }

    /** Returns when the latest check began, in milliseconds. */
    long sinceMs() {
        return sinceMs;
    }

    /** Returns the longest suspension that is possible, in milliseconds; 0 if no check is open. */
    long longestMs() {
        return open ? longestMs : 0;
    }

    /** Takes a heartbeat of the owner into account. */
    void onHeartbeat(long ofToken, long sentAtMs, long nowMs) {
        long offset = sentAtMs - nowMs;
        if (!open) {
            known = true;
            token = ofToken;
            offsetMs = offset;
        } else if (known && ofToken == token) {
            compare(offset, nowMs);
        }
    }

    private void compare(long offset, long nowMs) {
        if (!candidate || Math.abs(offset - candidateMs) > TOLERANCE_MS) {
            candidate = true;
            candidateMs = offset;
            candidateAtMs = nowMs;
        } else if (nowMs - candidateAtMs >= MIN_SPACING_MS) {
            long advancedMs = offset - offsetMs;
            suspendedMs =
                    OptionalLong.of(advancedMs <= TOLERANCE_MS ? 0 : Math.min(longestMs, advancedMs + TOLERANCE_MS));
        }
    }

    /** Ends the check if there is evidence or the timeout has passed; returns for how long this VM was suspended at most. */
    OptionalLong poll(long nowMs) {
        if (!open || suspendedMs.isEmpty() && nowMs - sinceMs < TIMEOUT_MS) {
            return OptionalLong.empty();
        }
        open = false;
        known = false;
        return suspendedMs.isPresent() ? suspendedMs : OptionalLong.of(longestMs);
    }
}
