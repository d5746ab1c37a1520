package org.gooseberrypier.ticket;

import org.gooseberrypier.log.LogRecord;

/** Something that a {@link TicketReplay} found out. */
public sealed interface TicketOutcome {

    /** Where a configuration came from. */
    enum Source {
        /** From a ticket in the stream. */
        LOG,
        /** From a checkpoint in the stream. */
        CHECKPOINT,
        /** From another VM. */
        PEER,
        /** From what was in force already, confirmed by an operator. */
        RESUME
    }

    /**
     * A ticket came into force.
     *
     * @param record its record
     * @param ticket the ticket
     * @param before the configuration before
     * @param after the configuration in force now
     * @param source where the record came from
     */
    record Accepted(LogRecord record, Ticket ticket, Configuration before, Configuration after, Source source)
            implements TicketOutcome {}

    /**
     * A ticket was refused.
     *
     * @param record its record
     * @param verdict why
     */
    record Refused(LogRecord record, TicketVerdict.Refused verdict) implements TicketOutcome {}

    /**
     * A whole configuration came into force.
     *
     * @param before the configuration before
     * @param after the configuration in force now
     * @param source where it came from
     */
    record Adopted(Configuration before, Configuration after, Source source) implements TicketOutcome {}

    /**
     * A checkpoint in the stream agrees with the configuration in force.
     *
     * @param record its record
     */
    record Confirmed(LogRecord record) implements TicketOutcome {}

    /**
     * Every verdict up to an offset is known again.
     *
     * @param throughOffset the offset
     */
    record Synchronised(long throughOffset) implements TicketOutcome {}

    /**
     * The stream or a peer contradicts what is known; nothing of it is used.
     *
     * @param detail what is wrong, one line
     */
    record Fault(String detail) implements TicketOutcome {}
}
