package org.gooseberrypier.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.log.LogRecord;

/**
 * Replays the ticket stream: decides about each record in the order of the offsets.
 *
 * <p>A replay is <em>synchronised</em> while it knows the verdict of every record before the next one. It is not so
 * where the stream lost records before they were read, or went back to lower offsets. Then the configuration in force
 * stays, records wait in a bounded buffer, and only a checkpoint that covers the loss, or an operator's
 * {@link ResumeRecord}, makes it synchronised again. The
 * number and the offset of the configuration in force only go up.
 */
public final class TicketReplay {

    private final PendingRecords heldBack = new PendingRecords();
    private final RecordDigests seen = new RecordDigests();
    private final List<TicketOutcome> outcomes = new ArrayList<>();
    private Configuration inForce = Configuration.NONE;
    private long throughOffset = -1;
    private long lastSeenOffset = -1;

    private boolean synchronised = true;
    private boolean rewound;
    private boolean unconfirmed;

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Configuration#NONE} before the first
     */
    public Configuration inForce() {
        return inForce;
    }

    /**
     * Tells whether the verdict of every record before the next one is known.
     *
     * @return false after a loss or a rewind of the stream
     */
    public boolean isSynchronised() {
        return synchronised;
    }

    /**
     * Returns the offset up to which every verdict is known.
     *
     * @return the offset, -1 before the first record
     */
    public long throughOffset() {
        return throughOffset;
    }

    /**
     * Returns the checkpoint of what is in force, if this replay can vouch for it.
     *
     * @return the checkpoint; its offset is -1 while the replay is not synchronised
     */
    public Checkpoint checkpoint() {
        if (!synchronised) {
            return new Checkpoint(-1, inForce);
        }
        long through = Math.max(throughOffset, inForce.offset());
        return new Checkpoint(through, seen.get(through), inForce);
    }

    /**
     * Takes what a read of the stream returned.
     *
     * @param firstOffset the oldest offset that the stream still has
     * @param nextOffset the offset that the next record of the stream will get
     * @param records the records read, in order, possibly none
     * @return what became of them
     */
    public List<TicketOutcome> applyRead(long firstOffset, long nextOffset, List<LogRecord> records) {
        if (nextOffset <= Math.max(lastSeenOffset, throughOffset)) {
            rewind(nextOffset);
            return drain();
        }
        noteLoss(firstOffset);
        for (LogRecord r : records) {
            take(r);
        }
        return drain();
    }

    /**
     * Takes accepted records that a peer passed on.
     *
     * @param afterUniqueId the unique id of the ticket that the peer had in force before the first record
     * @param records the records, without a gap in their numbers
     * @return what became of them; nothing if they are known or do not follow what is in force
     */
    public List<TicketOutcome> applyPeerRecords(String afterUniqueId, List<LogRecord> records) {
        String previous = afterUniqueId;
        for (LogRecord r : records) {
            if (previous.equals(inForce.uniqueId()) && r.offset() > inForce.offset()) {
                judgeFromPeer(r);
            }
            previous = uniqueId(r);
        }
        return drain();
    }

    /**
     * Takes the whole configuration of a peer.
     *
     * @param peer what the peer vouches for; an offset of -1 if it knows no prefix of the stream
     * @return what became of it; nothing if it is not newer than what is in force
     */
    public List<TicketOutcome> applyPeerCheckpoint(Checkpoint peer) {
        if (contradicts(peer)) {
            outcomes.add(new TicketOutcome.Fault("a peer has another configuration of ticket "
                    + peer.configuration().number()));
            return drain();
        }
        if (!synchronised && covers(peer) && isNotOlder(peer) && isOfThisStream(peer)) {
            synchronise(peer, TicketOutcome.Source.PEER);
            return drain();
        }
        if (isNewer(peer.configuration())) {
            checkAgainstStream(
                    peer.configuration().number(), peer.configuration().offset());
            adopt(peer.configuration(), TicketOutcome.Source.PEER);
            unconfirmed = true;
        } else if (peer.configuration().number() > inForce.number()) {
            outcomes.add(new TicketOutcome.Fault("a peer has ticket "
                    + peer.configuration().number() + " at the lower offset "
                    + peer.configuration().offset()));
        }
        return drain();
    }

    private void judgeFromPeer(LogRecord record) {
        TicketVerdict verdict = TicketVerdict.of(inForce, record);
        if (verdict instanceof TicketVerdict.Accepted a) {
            takeFromPeer(record, a);
        } else {
            outcomes.add(new TicketOutcome.Fault("a peer passed on the record at offset " + record.offset()
                    + " that is refused here: " + ((TicketVerdict.Refused) verdict).detail()));
        }
    }

    private static String uniqueId(LogRecord record) {
        try {
            return TicketCodec.parse(record.data()).uniqueId();
        } catch (TicketFormatException e) {
            return "";
        }
    }

    private void takeFromPeer(LogRecord record, TicketVerdict.Accepted accepted) {
        checkAgainstStream(accepted.ticket().number(), record.offset());
        accept(record, accepted, TicketOutcome.Source.PEER);
        unconfirmed = true;
    }

    /** A peer's higher number wins, but a stream that shows something else at that offset is trusted no more. */
    private void checkAgainstStream(long number, long offset) {
        if (!synchronised || throughOffset < offset) {
            return;
        }
        synchronised = false;
        rewound = true;
        heldBack.clear();
        outcomes.add(new TicketOutcome.Fault("a peer has accepted ticket " + number + " at offset " + offset
                + ", where the stream read here shows something else"));
    }

    private void rewind(long nextOffset) {
        if (rewound) {
            return;
        }
        rewound = true;
        synchronised = false;
        heldBack.clear();
        seen.removeFrom(nextOffset);
        outcomes.add(new TicketOutcome.Fault("the stream went back: its next offset is " + nextOffset + ", offset "
                + Math.max(lastSeenOffset, throughOffset) + " was read before"));
    }

    private void noteLoss(long begin) {
        // A ticket that only a peer told of may have been in records that the stream has lost since.
        long confirmed = unconfirmed ? -1 : inForce.offset();
        long known = Math.max(Math.max(lastSeenOffset, throughOffset), confirmed);
        if (begin <= known + 1) {
            return;
        }
        heldBack.clear();
        lastSeenOffset = begin - 1;
        if (synchronised && inForce.isPresent()) {
            outcomes.add(new TicketOutcome.Fault("the records at offsets " + (known + 1) + " to " + (begin - 1)
                    + " were lost before they were read"));
        }
        synchronised = false;
    }

    private void take(LogRecord record) {
        if (record.offset() <= lastSeenOffset) {
            compare(record);
            return;
        }
        noteLoss(record.offset());
        lastSeenOffset = record.offset();
        seen.put(record.offset(), RecordDigests.digest(record.data()));
        if (synchronised) {
            decide(record);
            return;
        }
        heldBack.add(record);
        if (CheckpointCodec.isCheckpoint(record.data())) {
            tryCheckpoint(record);
        } else if (ResumeRecord.isResume(record.data())) {
            tryResume(record);
        }
    }

    /** Finds out whether the stream still holds a record that was seen before. */
    private void compare(LogRecord record) {
        long digest = RecordDigests.digest(record.data());
        boolean isOther = seen.differs(record.offset(), digest);
        if (isOther) {
            seen.removeFrom(record.offset());
        }
        seen.put(record.offset(), digest);
        if (isOther && !rewound) {
            rewound = true;
            synchronised = false;
            heldBack.clear();
            outcomes.add(new TicketOutcome.Fault(
                    "the stream went back: the record at offset " + record.offset() + " is not the one read before"));
        }
    }

    private void tryResume(LogRecord record) {
        Optional<ResumeRecord> resume = ResumeRecord.parse(record.data());
        boolean matches =
                resume.isPresent() && inForce.isPresent() && resume.get().matches(inForce);
        if (matches && record.offset() > inForce.offset()) {
            synchronise(new Checkpoint(record.offset(), inForce), TicketOutcome.Source.RESUME);
        }
    }

    private void checkResume(LogRecord record) {
        Optional<ResumeRecord> resume = ResumeRecord.parse(record.data());
        if (resume.isEmpty() || !resume.get().matches(inForce)) {
            synchronised = resume.isEmpty() || resume.get().number() <= inForce.number();
            outcomes.add(new TicketOutcome.Fault("the resume record at offset " + record.offset() + " is not of ticket "
                    + inForce.number() + " \"" + inForce.uniqueId() + "\" that is in force"));
        }
    }

    private void decide(LogRecord record) {
        throughOffset = Math.max(throughOffset, record.offset());
        if (record.offset() == inForce.offset() && unconfirmed) {
            confirmPeer(record);
        } else if (CheckpointCodec.isCheckpoint(record.data())) {
            confirm(record);
        } else if (ResumeRecord.isResume(record.data())) {
            checkResume(record);
        } else if (record.offset() > inForce.offset()) {
            judge(record);
        }
    }

    private void judge(LogRecord record) {
        TicketVerdict verdict = TicketVerdict.of(inForce, record);
        if (verdict instanceof TicketVerdict.Accepted a) {
            accept(record, a, TicketOutcome.Source.LOG);
        } else {
            outcomes.add(new TicketOutcome.Refused(record, (TicketVerdict.Refused) verdict));
        }
    }

    private void confirmPeer(LogRecord record) {
        unconfirmed = false;
        try {
            Ticket ticket = TicketCodec.parse(record.data());
            if (ticket.number() == inForce.number() && ticket.uniqueId().equals(inForce.uniqueId())) {
                return;
            }
        } catch (TicketFormatException e) {
            // Reported below like any other record that is not the one a peer passed on.
        }
        synchronised = false;
        rewound = true;
        outcomes.add(new TicketOutcome.Fault("the record at offset " + record.offset() + " is not ticket "
                + inForce.number() + " \"" + inForce.uniqueId() + "\" that a peer passed on"));
    }

    private void confirm(LogRecord record) {
        Checkpoint checkpoint = parse(record);
        if (checkpoint == null) {
            return;
        }
        if (checkpoint.configuration().number() > inForce.number() || contradicts(checkpoint)) {
            outcomes.add(new TicketOutcome.Fault("the checkpoint at offset " + record.offset() + " of ticket "
                    + checkpoint.configuration().number() + " contradicts the records before it"));
        } else if (checkpoint.configuration().number() == inForce.number()) {
            outcomes.add(new TicketOutcome.Confirmed(record));
        }
    }

    private void tryCheckpoint(LogRecord record) {
        Checkpoint checkpoint = parse(record);
        if (checkpoint == null || checkpoint.throughOffset() < 0 || checkpoint.throughOffset() >= record.offset()) {
            return;
        }
        if (contradicts(checkpoint)) {
            outcomes.add(new TicketOutcome.Fault("the checkpoint at offset " + record.offset()
                    + " has another configuration of ticket " + inForce.number()));
        } else if (covers(checkpoint) && isNotOlder(checkpoint) && isOfThisStream(checkpoint)) {
            synchronise(checkpoint, TicketOutcome.Source.CHECKPOINT);
        }
    }

    private Checkpoint parse(LogRecord record) {
        try {
            return CheckpointCodec.parse(record.data());
        } catch (TicketFormatException e) {
            outcomes.add(new TicketOutcome.Fault(
                    "the checkpoint at offset " + record.offset() + " cannot be read: " + e.getMessage()));
            return null;
        }
    }

    private void synchronise(Checkpoint checkpoint, TicketOutcome.Source source) {
        if (isNewer(checkpoint.configuration())) {
            adopt(checkpoint.configuration(), source);
        }
        throughOffset = Math.max(checkpoint.throughOffset(), inForce.offset());
        synchronised = true;
        rewound = false;
        unconfirmed = false;
        outcomes.add(new TicketOutcome.Synchronised(throughOffset));
        for (LogRecord r : heldBack.takeAll()) {
            if (r.offset() > throughOffset) {
                decide(r);
            }
        }
        if (throughOffset > lastSeenOffset) {
            lastSeenOffset = throughOffset;
            if (throughOffset == checkpoint.throughOffset()) {
                seen.put(throughOffset, checkpoint.throughDigest());
            }
        }
    }

    /**
     * Returns whether a checkpoint was made from the stream that is read here: where the stream went back, its maker may
     * still have the records that are gone.
     */
    private boolean isOfThisStream(Checkpoint checkpoint) {
        long known = seen.get(checkpoint.throughOffset());
        if (known == RecordDigests.UNKNOWN || checkpoint.throughDigest() == RecordDigests.UNKNOWN) {
            return !rewound;
        }
        return known == checkpoint.throughDigest();
    }

    private boolean covers(Checkpoint checkpoint) {
        long begin = heldBack.firstOffset(lastSeenOffset + 1);
        return checkpoint.throughOffset() >= begin - 1;
    }

    private boolean contradicts(Checkpoint checkpoint) {
        Configuration c = checkpoint.configuration();
        return inForce.isPresent() && c.number() == inForce.number() && !c.equals(inForce);
    }

    private boolean isNotOlder(Checkpoint checkpoint) {
        return checkpoint.configuration().isPresent()
                && checkpoint.configuration().number() >= inForce.number()
                && checkpoint.configuration().offset() >= inForce.offset();
    }

    private boolean isNewer(Configuration c) {
        return c.number() > inForce.number() && c.offset() > inForce.offset();
    }

    private void accept(LogRecord record, TicketVerdict.Accepted accepted, TicketOutcome.Source source) {
        Configuration before = inForce;
        replace(accepted.after());
        outcomes.add(new TicketOutcome.Accepted(record, accepted.ticket(), before, inForce, source));
    }

    private void adopt(Configuration after, TicketOutcome.Source source) {
        Configuration before = inForce;
        replace(after);
        outcomes.add(new TicketOutcome.Adopted(before, inForce, source));
    }

    private void replace(Configuration after) {
        if (!isNewer(after)) {
            throw new InvariantViolationException("ticket " + after.number() + " at offset " + after.offset()
                    + " would replace ticket " + inForce.number() + " at offset " + inForce.offset());
        }
        inForce = after;
    }

    private List<TicketOutcome> drain() {
        List<TicketOutcome> list = List.copyOf(outcomes);
        outcomes.clear();
        return list;
    }
}
