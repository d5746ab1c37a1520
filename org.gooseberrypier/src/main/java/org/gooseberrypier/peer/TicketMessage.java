package org.gooseberrypier.peer;

import java.util.List;

import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.LogRecord;

/** A message that spreads accepted tickets between VMs. */
public sealed interface TicketMessage extends PeerMessage {

    /**
     * Passes on records of the ticket stream.
     *
     * @param afterUniqueId the unique id of the ticket that was in force before the first record, empty if none was
     * @param records accepted records in the order of their offsets, without a gap in their numbers
     */
    record Spread(String afterUniqueId, List<LogRecord> records) implements TicketMessage {

        /** Freezes the list. */
        public Spread {
            records = List.copyOf(records);
        }
    }

    /**
     * Asks for what the sender does not know.
     *
     * @param afterNumber the number of the ticket in force at the sender, 0 for none
     * @param whole whether the sender needs the whole configuration with the offset that it covers, even if it has the
     *     same number
     */
    record Ask(long afterNumber, boolean whole) implements TicketMessage {}

    /**
     * Carries a part of a checkpoint that may be larger than a message.
     *
     * @param number the number of the ticket in force at the sender
     * @param throughOffset the offset that the checkpoint covers, -1 if the sender does not vouch for any
     * @param throughDigest the CRC-32C of the record at that offset, -1 if it is not known
     * @param index the place of this part, from 0
     * @param count how many parts there are
     * @param data the bytes of this part
     */
    record Part(long number, long throughOffset, long throughDigest, int index, int count, Payload data)
            implements TicketMessage {}
}
