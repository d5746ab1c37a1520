package org.gooseberrypier.effect;

/**
 * An entry of the audit trail: one change.
 *
 * @param atMs the time of the change, in milliseconds since the epoch
 * @param kind the kind of change
 * @param subject what changed: a ticket, a VM, an endpoint or a team
 * @param ticket the number of the ticket in force
 * @param detail one line that says who caused the change and why
 */
public record AuditEntry(long atMs, Kind kind, String subject, long ticket, String detail) {

    /** The kinds of change that the audit trail records. */
    public enum Kind {
        /** A ticket came into force. */
        TICKET_ACCEPTED,
        /** A ticket was refused. */
        TICKET_REFUSED,
        /** The end of the ticket stream moved to a lower offset, or the stream lost records that were needed. */
        TICKET_STREAM_BROKEN,
        /** A message of a VM was received for the first time. */
        VM_JOINED,
        /** A VM left or stopped sending messages. */
        VM_LEFT,
        /** A zone's view changed. */
        VIEW_CHANGED,
        /** An endpoint gets no work because the tasks that it starts fail. */
        ENDPOINT_QUARANTINED,
        /** An endpoint gets work again. */
        ENDPOINT_RESTORED,
        /** The last task of a leaving endpoint ended. */
        ENDPOINT_DRAINED,
        /** A team reached its quota. */
        QUOTA_HIT,
        /** The process began or ended its graceful stop. */
        STOPPING
    }
}
