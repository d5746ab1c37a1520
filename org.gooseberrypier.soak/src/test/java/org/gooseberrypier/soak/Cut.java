package org.gooseberrypier.soak;

import java.util.Locale;

/**
 * A cut of the network around a zone.
 *
 * @param zone the zone
 * @param direction what is held
 * @param durationMs how long it lasts, in milliseconds
 * @param reset whether the connections that cross it are reset when it ends, so that what was held is lost
 * @param lateMs how much later than its end the connections that crossed it deliver again, in milliseconds; new
 *     connections work at once
 */
record Cut(String zone, Direction direction, long durationMs, boolean reset, long lateMs) {

    /** Which bytes a cut holds, seen from the zone. */
    enum Direction {
        BOTH,
        INBOUND,
        OUTBOUND
    }

    /** Returns whether the cut holds what goes from one zone to another. */
    boolean holds(String from, String to) {
        if (from.equals(to)) {
            return false;
        }
        return from.equals(zone) && direction != Direction.INBOUND
                || to.equals(zone) && direction != Direction.OUTBOUND;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "cut zone=%s %s %d ms reset=%s late=%d ms", zone, direction, durationMs, reset, lateMs);
    }
}
