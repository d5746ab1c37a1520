package org.gooseberrypier.ticket;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

import org.gooseberrypier.lib.ZoneId;

/**
 * The availability zones from which the home zones of keys are derived, from a given submission time on.
 *
 * @param ticketNumber the number of the ticket that set these zones
 * @param effectiveFromMs the first submission time that the set applies to, in milliseconds since the epoch
 * @param zones the zones that have an entry VM that is not leaving
 */
public record ZoneSet(long ticketNumber, long effectiveFromMs, SortedSet<ZoneId> zones) {

    /** Delay from the append of a ticket until its zone set takes effect, in milliseconds. */
    public static final long EFFECT_DELAY_MS = 60_000;

    /** Minimum retention of a replaced set, in milliseconds; keys are not retained longer. */
    public static final long RETENTION_MS = 24 * 3_600_000L;

    /** The maximum number of sets in a configuration. */
    public static final int MAX_SETS = 64;

    /** Copies the set. */
    public ZoneSet {
        zones = Collections.unmodifiableSortedSet(new TreeSet<>(zones));
    }
}
