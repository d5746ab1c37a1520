package org.gooseberrypier.internal.ticket;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.peer.TicketMessage;
import org.gooseberrypier.ticket.Checkpoint;
import org.gooseberrypier.ticket.CheckpointCodec;

/**
 * Reassembles a checkpoint from the parts that a peer sends.
 *
 * <p>Only one checkpoint is assembled at a time: a part from another sender or of another checkpoint discards the parts
 * received so far.
 */
final class CheckpointAssembly {

    private Member currentSender;
    private long number;
    private long throughOffset;
    private long throughDigest;
    private Payload[] parts = new Payload[0];
    private int missingCount;
    private long bytes;

    /**
     * Adds one part; a part that was already received is ignored.
     *
     * @param sender the peer that sent the part
     * @param part the part
     * @return the checkpoint if this was the last missing part, else empty
     * @throws TicketFormatException if the index or the count is out of range, the parts exceed
     *     {@link CheckpointCodec#MAX_BYTES}, or the assembled bytes are not a checkpoint
     */
    Optional<Checkpoint> add(Member sender, TicketMessage.Part part) throws TicketFormatException {
        if (!isInRange(part)) {
            throw new TicketFormatException("part " + part.index() + " of " + part.count() + " is out of range");
        }
        if (!isSameCheckpoint(sender, part)) {
            start(sender, part);
        }
        if (parts[part.index()] != null) {
            return Optional.empty();
        }
        parts[part.index()] = part.data();
        missingCount--;
        bytes += part.data().size();
        if (bytes > CheckpointCodec.MAX_BYTES) {
            clear();
            throw new TicketFormatException("more than " + CheckpointCodec.MAX_BYTES + " bytes");
        }
        return missingCount == 0 ? Optional.of(finish()) : Optional.empty();
    }

    private static boolean isInRange(TicketMessage.Part part) {
        return part.count() >= 1
                && part.count() <= TicketDisseminator.MAX_PARTS
                && part.index() >= 0
                && part.index() < part.count();
    }

    private boolean isSameCheckpoint(Member sender, TicketMessage.Part part) {
        return sender.equals(currentSender)
                && part.number() == number
                && part.throughOffset() == throughOffset
                && part.throughDigest() == throughDigest
                && part.count() == parts.length;
    }

    private void start(Member sender, TicketMessage.Part part) {
        currentSender = sender;
        number = part.number();
        throughOffset = part.throughOffset();
        throughDigest = part.throughDigest();
        parts = new Payload[part.count()];
        missingCount = part.count();
        bytes = 0;
    }

    private Checkpoint finish() throws TicketFormatException {
        ByteArrayOutputStream out = new ByteArrayOutputStream((int) bytes);
        for (Payload p : parts) {
            out.writeBytes(p.bytes());
        }

        clear();
        Checkpoint checkpoint = CheckpointCodec.parse(Payload.wrap(out.toByteArray()));
        return new Checkpoint(throughOffset, throughDigest, checkpoint.configuration());
    }

    private void clear() {
        currentSender = null;
        parts = new Payload[0];
        missingCount = 0;
        bytes = 0;
    }
}
