package org.gooseberrypier.peer;

import java.util.List;

import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.LogRecord;

/** A message that distributes accepted tickets between VMs. */
public sealed interface TicketMessage extends PeerMessage {

    /**
     * Forwards records of the ticket stream.
     *
     * @param afterUniqueId the unique id of the ticket in force before the first record, empty if there was none
     * @param records accepted records in the order of their offsets, without a gap in their numbers
     */
    record Spread(String afterUniqueId, List<LogRecord> records) implements TicketMessage {

        /** Copies the list. */
        public Spread {
            records = List.copyOf(records);
        }
    }

    /**
     * Requests the tickets that the sender does not know.
     *
     * @param afterNumber the number of the ticket in force at the sender, 0 for none
     * @param whole whether the sender needs the complete configuration with the offset that it covers, even if the
     *     ticket in force at the receiver has the same number
     */
    record Ask(long afterNumber, boolean whole) implements TicketMessage {}

    /**
     * Carries one part of a checkpoint, which may be larger than a message.
     *
     * @param number the number of the ticket in force at the sender
     * @param throughOffset the highest offset that the checkpoint covers, -1 if the sender does not guarantee any
     * @param throughDigest the CRC-32C of the record at that offset, -1 if it is not known
     * @param index the index of this part, from 0
     * @param count the number of parts
     * @param data the bytes of this part
     */
    record Part(long number, long throughOffset, long throughDigest, int index, int count, Payload data)
            implements TicketMessage {}
}
