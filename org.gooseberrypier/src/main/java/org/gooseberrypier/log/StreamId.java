package org.gooseberrypier.log;

import java.util.Objects;

import org.gooseberrypier.lib.ZoneId;

/**
 * The name of one append-only stream of the platform's log.
 *
 * @param name the name
 */
public record StreamId(String name) {

    /** The stream to which operators publish tickets. */
    public static final StreamId TICKETS = new StreamId("tickets");

    /** The stream of the audit trail. */
    public static final StreamId AUDIT = new StreamId("audit");

    /** Checks that the name is not null. */
    public StreamId {
        Objects.requireNonNull(name, "name");
    }

    /**
     * Returns the stream of a zone's views.
     *
     * @param zone the availability zone
     * @return the stream
     */
    public static StreamId views(ZoneId zone) {
        return new StreamId("views." + zone.name());
    }
}
