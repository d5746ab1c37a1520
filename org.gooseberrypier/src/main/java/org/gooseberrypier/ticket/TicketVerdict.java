package org.gooseberrypier.ticket;

import java.util.List;
import java.util.Optional;

import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.log.LogRecord;

/**
 * The verdict on one ticket record: accepted or refused. It is a pure function of the configuration before the record
 * and of the record.
 */
public sealed interface TicketVerdict {

    /**
     * The ticket is accepted and comes into force.
     *
     * @param ticket the ticket
     * @param after the configuration with the ticket applied
     */
    record Accepted(Ticket ticket, Configuration after) implements TicketVerdict {}

    /**
     * The ticket is refused; the configuration does not change.
     *
     * @param cause the kind of fault
     * @param detail the reason, one line
     * @param ticket the ticket, if it could be parsed
     */
    record Refused(Cause cause, String detail, Optional<Ticket> ticket) implements TicketVerdict {}

    /** Why a ticket is refused. */
    enum Cause {
        /** The record is larger than {@link #MAX_RECORD_BYTES}. */
        OVERSIZED,
        /** The record is not a ticket in JSON. */
        MALFORMED,
        /** A value of the ticket, or the resulting configuration, is not allowed. */
        INVALID,
        /** The record repeats the ticket that is already in force. */
        DUPLICATE,
        /** The number was already used by an accepted ticket. */
        NUMBER_TAKEN,
        /** The number is more than one above the number in force. */
        NUMBER_GAP
    }

    /** The maximum size of a ticket record, in bytes. */
    int MAX_RECORD_BYTES = 4 << 20;

    /**
     * Determines the verdict on a record.
     *
     * @param before the configuration in force before the record
     * @param record the record
     * @return the verdict
     */
    static TicketVerdict of(Configuration before, LogRecord record) {
        int size = record.data().size();
        if (size > MAX_RECORD_BYTES) {
            String detail = size + " bytes, allowed are " + MAX_RECORD_BYTES;
            return new Refused(Cause.OVERSIZED, detail, Optional.empty());
        }
        Ticket ticket;
        try {
            ticket = TicketCodec.parse(record.data());
        } catch (TicketFormatException e) {
            return new Refused(Cause.MALFORMED, e.getMessage(), Optional.empty());
        }
        return of(before, ticket, record);
    }

    private static TicketVerdict of(Configuration before, Ticket ticket, LogRecord record) {
        if (ticket.number() != before.number() + 1) {
            return outOfOrder(before, ticket);
        }
        List<TicketProblem> problems = TicketValidator.check(ticket);
        if (!problems.isEmpty()) {
            return invalid(ticket, problems);
        }
        Configuration after = before.apply(ticket, record.offset(), record.appendedAtMs());
        problems = TicketValidator.check(ticket, after);
        return problems.isEmpty() ? new Accepted(ticket, after) : invalid(ticket, problems);
    }

    private static Refused outOfOrder(Configuration before, Ticket ticket) {
        if (before.isPresent()
                && ticket.number() == before.number()
                && ticket.uniqueId().equals(before.uniqueId())) {
            return new Refused(Cause.DUPLICATE, "the ticket is in force already", Optional.of(ticket));
        }
        Cause cause = ticket.number() <= before.number() ? Cause.NUMBER_TAKEN : Cause.NUMBER_GAP;
        String detail = "number " + ticket.number() + " does not follow " + before.number() + ", allowed is "
                + (before.number() + 1);
        return new Refused(cause, detail, Optional.of(ticket));
    }

    private static Refused invalid(Ticket ticket, List<TicketProblem> problems) {
        StringBuilder detail = new StringBuilder();
        for (TicketProblem p : problems) {
            detail.append(detail.isEmpty() ? "" : "; ").append(p);
        }
        return new Refused(Cause.INVALID, detail.toString(), Optional.of(ticket));
    }
}
