package org.gooseberrypier.internal.board;

/**
 * The verdict on one record of the ticket stream.
 *
 * @param offset the offset of the record
 * @param appendedAtMs when the platform appended the record, in milliseconds since the epoch
 * @param number the number of the ticket, 0 if it could not be read
 * @param uniqueId the unique id of the ticket, empty if it could not be read
 * @param author who issued it, empty if it could not be read
 * @param accepted whether the ticket came into force
 * @param detail the operator's reason if the ticket was accepted, else the reason of the refusal
 */
public record TicketHistoryEntry(
        long offset, long appendedAtMs, long number, String uniqueId, String author, boolean accepted, String detail) {}
