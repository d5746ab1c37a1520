package org.gooseberrypier.ticket;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

import org.gooseberrypier.lib.ZoneId;

/**
 * The availability zones among which the homes of keys are derived from some time on.
 *
 * @param ticketNumber the ticket that brought the set
 * @param effectiveFromMs the first submission time that it holds for, in milliseconds since the epoch
 * @param zones the zones that have an entry VM which does not leave
 */
public record ZoneSet(long ticketNumber, long effectiveFromMs, SortedSet<ZoneId> zones) {

    /** How long after its append a ticket's zone set takes effect, in milliseconds. */
    public static final long EFFECT_DELAY_MS = 60_000;

    /** How long a replaced set is kept at least, in milliseconds; no key is remembered longer. */
    public static final long RETENTION_MS = 24 * 3_600_000L;

    /** How many sets a configuration holds at most. */
    public static final int MAX_SETS = 64;

    /** Freezes the set. */
    public ZoneSet {
        zones = Collections.unmodifiableSortedSet(new TreeSet<>(zones));
    }
}
