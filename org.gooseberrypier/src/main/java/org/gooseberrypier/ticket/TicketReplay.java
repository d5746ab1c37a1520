package org.gooseberrypier.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.log.LogRecord;

/**
 * Determines the configuration in force by processing the records of the ticket stream in offset order.
 *
 * <p>A replay is <em>synchronised</em> while it knows the verdict on every record before the next one. It stops being
 * synchronised when the stream loses records before they are read, or is rewound to lower offsets. From then on the
 * tickets read do not change the configuration in force; their records are kept in a bounded buffer. Only a checkpoint
 * that covers the lost records, or an operator's {@link ResumeRecord}, makes the replay synchronised again.
 *
 * <p>The number and the offset of the configuration in force never decrease.
 */
public final class TicketReplay {

    private final PendingRecords pending = new PendingRecords();
    private final RecordDigests digests = new RecordDigests();
    private final List<TicketOutcome> outcomes = new ArrayList<>();
    private Configuration inForce = Configuration.NONE;
    private long throughOffset = -1;
    private long lastSeenOffset = -1;

    private boolean synchronised = true;
    private boolean rewound;
    private boolean inForceUnconfirmed;

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Configuration#NONE} before the first
     */
    public Configuration inForce() {
        return inForce;
    }

    /**
     * Returns whether the verdict on every record before the next one is known.
     *
     * @return false after the stream lost records or was rewound
     */
    public boolean isSynchronised() {
        return synchronised;
    }

    /**
     * Returns the offset up to which the verdict on every record is known.
     *
     * @return the offset, -1 before the first record
     */
    public long throughOffset() {
        return throughOffset;
    }

    /**
     * Returns a checkpoint of the configuration in force.
     *
     * @return the checkpoint; its offset is -1 while the replay is not synchronised, as the configuration may then
     *     lack tickets of the stream
     */
    public Checkpoint checkpoint() {
        if (!synchronised) {
            return new Checkpoint(-1, inForce);
        }
        long through = Math.max(throughOffset, inForce.offset());
        return new Checkpoint(through, digests.get(through), inForce);
    }

    /**
     * Processes the result of a read of the stream.
     *
     * @param firstOffset the lowest offset that the stream still holds
     * @param nextOffset the offset that the next record appended to the stream will get
     * @param records the records read, in offset order, possibly none
     * @return the outcomes, in the order in which they occurred
     */
    public List<TicketOutcome> applyRead(long firstOffset, long nextOffset, List<LogRecord> records) {
        if (nextOffset <= Math.max(lastSeenOffset, throughOffset)) {
            handleRewind(nextOffset);
            return takeOutcomes();
        }
        detectLoss(firstOffset);
        for (LogRecord r : records) {
            process(r);
        }
        return takeOutcomes();
    }

    /**
     * Processes accepted records that a peer sent.
     *
     * @param afterUniqueId the unique id of the ticket that the peer had in force before the first record
     * @param records the records, without a gap in their ticket numbers
     * @return the outcomes; empty if the records are already known or do not follow the ticket in force
     */
    public List<TicketOutcome> applyPeerRecords(String afterUniqueId, List<LogRecord> records) {
        String previous = afterUniqueId;
        for (LogRecord r : records) {
            if (previous.equals(inForce.uniqueId()) && r.offset() > inForce.offset()) {
                processPeerRecord(r);
            }
            previous = uniqueId(r);
        }
        return takeOutcomes();
    }

    /**
     * Processes the complete configuration of a peer.
     *
     * @param peer the peer's checkpoint; its offset is -1 if the peer knows no complete prefix of the stream
     * @return the outcomes; empty if the configuration is not newer than the one in force
     */
    public List<TicketOutcome> applyPeerCheckpoint(Checkpoint peer) {
        if (conflictsWithInForce(peer)) {
            outcomes.add(new TicketOutcome.Fault("a peer has another configuration of ticket "
                    + peer.configuration().number()));
            return takeOutcomes();
        }
        if (!synchronised && coversLostRecords(peer) && isNotOlder(peer) && matchesStream(peer)) {
            synchronise(peer, TicketOutcome.Source.PEER);
            return takeOutcomes();
        }
        if (isNewer(peer.configuration())) {
            checkAgainstStream(
                    peer.configuration().number(), peer.configuration().offset());
            adopt(peer.configuration(), TicketOutcome.Source.PEER);
            inForceUnconfirmed = true;
        } else if (peer.configuration().number() > inForce.number()) {
            outcomes.add(new TicketOutcome.Fault("a peer has ticket "
                    + peer.configuration().number() + " at the lower offset "
                    + peer.configuration().offset()));
        }
        return takeOutcomes();
    }

    private void processPeerRecord(LogRecord record) {
        TicketVerdict verdict = TicketVerdict.of(inForce, record);
        if (verdict instanceof TicketVerdict.Accepted a) {
            acceptFromPeer(record, a);
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

    private void acceptFromPeer(LogRecord record, TicketVerdict.Accepted accepted) {
        checkAgainstStream(accepted.ticket().number(), record.offset());
        accept(record, accepted, TicketOutcome.Source.PEER);
        inForceUnconfirmed = true;
    }

    /**
     * Ends the synchronised state if the stream was already read up to the offset at which a peer accepted a higher
     * ticket: the stream then holds another record there. The caller still accepts the peer's ticket.
     */
    private void checkAgainstStream(long number, long offset) {
        if (!synchronised || throughOffset < offset) {
            return;
        }
        synchronised = false;
        rewound = true;
        pending.clear();
        outcomes.add(new TicketOutcome.Fault("a peer has accepted ticket " + number + " at offset " + offset
                + ", where the stream read here shows something else"));
    }

    private void handleRewind(long nextOffset) {
        if (rewound) {
            return;
        }
        rewound = true;
        synchronised = false;
        pending.clear();
        digests.removeFrom(nextOffset);
        outcomes.add(new TicketOutcome.Fault("the stream went back: its next offset is " + nextOffset + ", offset "
                + Math.max(lastSeenOffset, throughOffset) + " was read before"));
    }

    private void detectLoss(long begin) {
        // A ticket known only from a peer may lie in records that the stream has lost, so its offset is not
        // taken as read.
        long confirmed = inForceUnconfirmed ? -1 : inForce.offset();
        long known = Math.max(Math.max(lastSeenOffset, throughOffset), confirmed);
        if (begin <= known + 1) {
            return;
        }
        pending.clear();
        lastSeenOffset = begin - 1;
        if (synchronised && inForce.isPresent()) {
            outcomes.add(new TicketOutcome.Fault("the records at offsets " + (known + 1) + " to " + (begin - 1)
                    + " were lost before they were read"));
        }
        synchronised = false;
    }

    private void process(LogRecord record) {
        if (record.offset() <= lastSeenOffset) {
            compareWithDigest(record);
            return;
        }
        detectLoss(record.offset());
        lastSeenOffset = record.offset();
        digests.put(record.offset(), RecordDigests.digest(record.data()));
        if (synchronised) {
            processInOrder(record);
            return;
        }
        pending.add(record);
        if (CheckpointCodec.isCheckpoint(record.data())) {
            tryCheckpoint(record);
        } else if (ResumeRecord.isResume(record.data())) {
            tryResume(record);
        }
    }

    /** Checks that a record read again is the one that was read at this offset before. */
    private void compareWithDigest(LogRecord record) {
        long digest = RecordDigests.digest(record.data());
        boolean differs = digests.differs(record.offset(), digest);
        if (differs) {
            digests.removeFrom(record.offset());
        }
        digests.put(record.offset(), digest);
        if (differs && !rewound) {
            rewound = true;
            synchronised = false;
            pending.clear();
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

    private void processInOrder(LogRecord record) {
        throughOffset = Math.max(throughOffset, record.offset());
        if (record.offset() == inForce.offset() && inForceUnconfirmed) {
            confirmPeerTicket(record);
        } else if (CheckpointCodec.isCheckpoint(record.data())) {
            checkCheckpoint(record);
        } else if (ResumeRecord.isResume(record.data())) {
            checkResume(record);
        } else if (record.offset() > inForce.offset()) {
            applyVerdict(record);
        }
    }

    private void applyVerdict(LogRecord record) {
        TicketVerdict verdict = TicketVerdict.of(inForce, record);
        if (verdict instanceof TicketVerdict.Accepted a) {
            accept(record, a, TicketOutcome.Source.LOG);
        } else {
            outcomes.add(new TicketOutcome.Refused(record, (TicketVerdict.Refused) verdict));
        }
    }

    private void confirmPeerTicket(LogRecord record) {
        inForceUnconfirmed = false;
        try {
            Ticket ticket = TicketCodec.parse(record.data());
            if (ticket.number() == inForce.number() && ticket.uniqueId().equals(inForce.uniqueId())) {
                return;
            }
        } catch (TicketFormatException e) {
            // Reported below, like any other record that differs from the peer's.
        }
        synchronised = false;
        rewound = true;
        outcomes.add(new TicketOutcome.Fault("the record at offset " + record.offset() + " is not ticket "
                + inForce.number() + " \"" + inForce.uniqueId() + "\" that a peer passed on"));
    }

    private void checkCheckpoint(LogRecord record) {
        Checkpoint checkpoint = parseCheckpoint(record);
        if (checkpoint == null) {
            return;
        }
        if (checkpoint.configuration().number() > inForce.number() || conflictsWithInForce(checkpoint)) {
            outcomes.add(new TicketOutcome.Fault("the checkpoint at offset " + record.offset() + " of ticket "
                    + checkpoint.configuration().number() + " contradicts the records before it"));
        } else if (checkpoint.configuration().number() == inForce.number()) {
            outcomes.add(new TicketOutcome.Confirmed(record));
        }
    }

    private void tryCheckpoint(LogRecord record) {
        Checkpoint checkpoint = parseCheckpoint(record);
        if (checkpoint == null || checkpoint.throughOffset() < 0 || checkpoint.throughOffset() >= record.offset()) {
            return;
        }
        if (conflictsWithInForce(checkpoint)) {
            outcomes.add(new TicketOutcome.Fault("the checkpoint at offset " + record.offset()
                    + " has another configuration of ticket " + inForce.number()));
        } else if (coversLostRecords(checkpoint) && isNotOlder(checkpoint) && matchesStream(checkpoint)) {
            synchronise(checkpoint, TicketOutcome.Source.CHECKPOINT);
        }
    }

    private Checkpoint parseCheckpoint(LogRecord record) {
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
        inForceUnconfirmed = false;
        outcomes.add(new TicketOutcome.Synchronised(throughOffset));
        for (LogRecord r : pending.takeAll()) {
            if (r.offset() > throughOffset) {
                processInOrder(r);
            }
        }
        if (throughOffset > lastSeenOffset) {
            lastSeenOffset = throughOffset;
            if (throughOffset == checkpoint.throughOffset()) {
                digests.put(throughOffset, checkpoint.throughDigest());
            }
        }
    }

    /**
     * Returns whether a checkpoint was made from the stream that is read here. After a rewind its author may still
     * have records that the stream has lost.
     */
    private boolean matchesStream(Checkpoint checkpoint) {
        long known = digests.get(checkpoint.throughOffset());
        if (known == RecordDigests.UNKNOWN || checkpoint.throughDigest() == RecordDigests.UNKNOWN) {
            return !rewound;
        }
        return known == checkpoint.throughDigest();
    }

    private boolean coversLostRecords(Checkpoint checkpoint) {
        long begin = pending.firstOffset(lastSeenOffset + 1);
        return checkpoint.throughOffset() >= begin - 1;
    }

    private boolean conflictsWithInForce(Checkpoint checkpoint) {
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

    private List<TicketOutcome> takeOutcomes() {
        List<TicketOutcome> list = List.copyOf(outcomes);
        outcomes.clear();
        return list;
    }
}
