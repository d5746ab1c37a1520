package org.gooseberrypier.internal.ticket;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.peer.TicketMessage;
import org.gooseberrypier.ticket.Checkpoint;
import org.gooseberrypier.ticket.CheckpointCodec;

/** Puts the parts of one peer's checkpoint together; a new sender or another checkpoint starts anew. */
final class CheckpointAssembly {

    private Member from;
    private long number;
    private long throughOffset;
    private long throughDigest;
    private Payload[] parts = new Payload[0];
    private int missing;
    private long bytes;

    /**
     * Takes one part.
     *
     * @param sender who sent it
     * @param part the part
     * @return the checkpoint, once its last part has come
     * @throws TicketFormatException if the parts make no checkpoint
     */
    Optional<Checkpoint> add(Member sender, TicketMessage.Part part) throws TicketFormatException {
        if (!isPossible(part)) {
            throw new TicketFormatException("part " + part.index() + " of " + part.count() + " is out of range");
        }
        if (!belongs(sender, part)) {
            start(sender, part);
        }
        if (parts[part.index()] != null) {
            return Optional.empty();
        }
        parts[part.index()] = part.data();
        missing--;
        bytes += part.data().size();
        if (bytes > CheckpointCodec.MAX_BYTES) {
            clear();
            throw new TicketFormatException("more than " + CheckpointCodec.MAX_BYTES + " bytes");
        }
        return missing == 0 ? Optional.of(finish()) : Optional.empty();
    }

    private static boolean isPossible(TicketMessage.Part part) {
        return part.count() >= 1
                && part.count() <= TicketDisseminator.MAX_PARTS
                && part.index() >= 0
                && part.index() < part.count();
    }

    private boolean belongs(Member sender, TicketMessage.Part part) {
        return sender.equals(from)
                && part.number() == number
                && part.throughOffset() == throughOffset
                && part.throughDigest() == throughDigest
                && part.count() == parts.length;
    }

    private void start(Member sender, TicketMessage.Part part) {
        from = sender;
        number = part.number();
        throughOffset = part.throughOffset();
        throughDigest = part.throughDigest();
        parts = new Payload[part.count()];
        missing = part.count();
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
        from = null;
        parts = new Payload[0];
        missing = 0;
        bytes = 0;
    }
}
