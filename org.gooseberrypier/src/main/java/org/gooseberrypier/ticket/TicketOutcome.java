package org.gooseberrypier.ticket;

import org.gooseberrypier.log.LogRecord;

/** A result of processing a record, a checkpoint or a read in a {@link TicketReplay}. */
public sealed interface TicketOutcome {

    /** The source of a configuration. */
    enum Source {
        /** A ticket in the stream. */
        LOG,
        /** A checkpoint in the stream. */
        CHECKPOINT,
        /** Another VM. */
        PEER,
        /** The configuration already in force, confirmed by an operator. */
        RESUME
    }

    /**
     * A ticket was accepted and came into force.
     *
     * @param record its record
     * @param ticket the ticket
     * @param before the configuration before
     * @param after the configuration in force now
     * @param source the source of the record
     */
    record Accepted(LogRecord record, Ticket ticket, Configuration before, Configuration after, Source source)
            implements TicketOutcome {}

    /**
     * A ticket was refused.
     *
     * @param record its record
     * @param verdict the cause and the details
     */
    record Refused(LogRecord record, TicketVerdict.Refused verdict) implements TicketOutcome {}

    /**
     * A complete configuration came into force.
     *
     * @param before the configuration before
     * @param after the configuration in force now
     * @param source the source of the configuration
     */
    record Adopted(Configuration before, Configuration after, Source source) implements TicketOutcome {}

    /**
     * A checkpoint in the stream agrees with the configuration in force.
     *
     * @param record its record
     */
    record Confirmed(LogRecord record) implements TicketOutcome {}

    /**
     * The replay is synchronised again: the verdict on every record up to an offset is known.
     *
     * @param throughOffset the offset
     */
    record Synchronised(long throughOffset) implements TicketOutcome {}

    /**
     * The stream or a peer contradicts what is known, or sent data that cannot be used.
     *
     * @param detail the fault, one line
     */
    record Fault(String detail) implements TicketOutcome {}
}
