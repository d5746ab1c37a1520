package org.gooseberrypier.internal.ticket;

import java.util.List;

import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.TicketHistoryEntry;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Controller;
import org.gooseberrypier.internal.engine.Timer;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.TicketMessage;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketOutcome;
import org.gooseberrypier.ticket.TicketReplay;
import org.gooseberrypier.ticket.TicketVerdict;

/**
 * Replays the ticket stream, puts accepted tickets into force and distributes them to peers.
 *
 * <p>All tickets of one event take effect together: the other controllers see a single change, from the configuration
 * before the event to the one after it.
 */
public final class TicketController implements Controller {

    private static final long MAX_RECENT_AGE_MS = 600_000;
    private static final long FAULT_REPEAT_INTERVAL_MS = 60_000;
    private static final long SYNCHRONISE_RETRY_INTERVAL_MS = 1_000;

    private final Blackboard board;
    private final TicketReplay replay = new TicketReplay();
    private final TicketDisseminator disseminator;
    private final CheckpointWriter checkpointWriter;
    private final CheckpointAssembly assembly = new CheckpointAssembly();
    private Timer askTimer;
    private String lastFault = "";
    private long lastFaultAtMs;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     */
    public TicketController(Blackboard board) {
        this.board = board;
        this.disseminator = new TicketDisseminator(board);
        this.checkpointWriter = new CheckpointWriter(replay, board.counters());
    }

    @Override
    public void handle(Event event, Context context) {
        if (event instanceof LogEvent.Read read && read.stream().equals(StreamId.TICKETS)) {
            applyOutcomes(replay.applyRead(read.firstOffset(), read.nextOffset(), read.records()), context);
        } else if (event instanceof PeerEvent.Received received) {
            handleMessage(received, context);
        }
    }

    private void handleMessage(PeerEvent.Received received, Context context) {
        Member from = received.from();
        if (received.message() instanceof MembershipMessage.Heartbeat h) {
            disseminator.onHeartbeat(from.vm(), h.ticketNumber(), context);
        } else if (received.message() instanceof TicketMessage.Spread s) {
            applyOutcomes(replay.applyPeerRecords(s.afterUniqueId(), s.records()), context);
        } else if (received.message() instanceof TicketMessage.Ask a) {
            disseminator.answer(from.vm(), a, replay.checkpoint(), context);
        } else if (received.message() instanceof TicketMessage.Part p) {
            handlePart(from, p, context);
        }
    }

    private void handlePart(Member from, TicketMessage.Part part, Context context) {
        try {
            var checkpoint = assembly.add(from, part);
            if (checkpoint.isPresent()) {
                applyOutcomes(replay.applyPeerCheckpoint(checkpoint.get()), context);
            }
        } catch (TicketFormatException e) {
            reportFault("the configuration of " + from.vm() + " cannot be read: " + e.getMessage(), context);
        }
    }

    private void applyOutcomes(List<TicketOutcome> outcomes, Context context) {
        Configuration before = board.tickets().inForce();
        board.tickets().setProgress(replay.throughOffset(), replay.isSynchronised());
        if (!replay.inForce().equals(before)) {
            putInForce(before, replay.inForce(), context);
        }
        for (TicketOutcome o : outcomes) {
            handleOutcome(o, context);
        }
        if (!replay.isSynchronised()) {
            scheduleAsk(context);
        }
    }

    private void putInForce(Configuration before, Configuration after, Context context) {
        if (after.number() <= before.number() || after.offset() <= before.offset()) {
            throw new InvariantViolationException("ticket " + after.number() + " at offset " + after.offset()
                    + " would replace ticket " + before.number() + " at offset " + before.offset());
        }
        board.tickets().setInForce(after);
        context.emit(new Effect.ApplyConfiguration(after));
        context.raise(new InternalEvent.ConfigurationChanged(before, after));
        checkpointWriter.start(context);
    }

    private void handleOutcome(TicketOutcome outcome, Context context) {
        if (outcome instanceof TicketOutcome.Accepted a) {
            handleAccepted(a, context);
        } else if (outcome instanceof TicketOutcome.Refused r) {
            handleRefused(r.record(), r.verdict(), context);
        } else if (outcome instanceof TicketOutcome.Adopted a) {
            String detail = "taken whole from a " + (a.source() == TicketOutcome.Source.PEER ? "peer" : "checkpoint");
            audit(
                    AuditEntry.Kind.TICKET_ACCEPTED,
                    a.after().uniqueId(),
                    a.after().number(),
                    detail,
                    context);
        } else if (outcome instanceof TicketOutcome.Confirmed) {
            checkpointWriter.postpone(context);
        } else if (outcome instanceof TicketOutcome.Fault f) {
            reportFault(f.detail(), context);
        }
    }

    private void handleAccepted(TicketOutcome.Accepted accepted, Context context) {
        Ticket ticket = accepted.ticket();
        LogRecord record = accepted.record();
        board.counters().increment(Counter.TICKETS_ACCEPTED);
        board.tickets()
                .addHistory(new TicketHistoryEntry(
                        record.offset(),
                        record.appendedAtMs(),
                        ticket.number(),
                        ticket.uniqueId(),
                        ticket.author(),
                        true,
                        ticket.reason()));
        if (isRecent(record, context)) {
            String detail = ticket.author() + ": " + ticket.reason();
            audit(AuditEntry.Kind.TICKET_ACCEPTED, ticket.uniqueId(), ticket.number(), detail, context);
            disseminator.push(accepted.before().uniqueId(), ticket.number(), record, context);
        }
    }

    private void handleRefused(LogRecord record, TicketVerdict.Refused verdict, Context context) {
        String uniqueId = verdict.ticket().map(Ticket::uniqueId).orElse("");
        String author = verdict.ticket().map(Ticket::author).orElse("");
        board.counters().increment(Counter.TICKETS_REFUSED);
        board.tickets()
                .addHistory(new TicketHistoryEntry(
                        record.offset(),
                        record.appendedAtMs(),
                        verdict.ticket().map(Ticket::number).orElse(0L),
                        uniqueId,
                        author,
                        false,
                        verdict.detail()));
        if (isRecent(record, context)) {
            String subject = uniqueId.isEmpty() ? "offset " + record.offset() : uniqueId;
            long number = board.tickets().inForce().number();
            String authorPrefix = author.isEmpty() ? "" : author + ": ";
            audit(AuditEntry.Kind.TICKET_REFUSED, subject, number, authorPrefix + verdict.detail(), context);
        }
    }

    private void reportFault(String detail, Context context) {
        boolean repeated = detail.equals(lastFault) && context.nowMs() < lastFaultAtMs + FAULT_REPEAT_INTERVAL_MS;
        if (repeated) {
            return;
        }
        lastFault = detail;
        lastFaultAtMs = context.nowMs();
        board.tickets().setLastFault(detail);
        board.counters().increment(Counter.TICKET_STREAM_FAULTS);
        Configuration inForce = board.tickets().inForce();
        audit(AuditEntry.Kind.TICKET_STREAM_BROKEN, inForce.uniqueId(), inForce.number(), detail, context);
    }

    private void scheduleAsk(Context context) {
        if (askTimer != null) {
            return;
        }
        long jitterMs = context.random().nextLong(SYNCHRONISE_RETRY_INTERVAL_MS);
        askTimer = context.schedule(context.nowMs() + jitterMs, this::askUntilSynchronised);
    }

    private void askUntilSynchronised(Context context) {
        askTimer = null;
        if (!replay.isSynchronised()) {
            disseminator.askAnyPeer(context);
            long jitterMs = context.random().nextLong(SYNCHRONISE_RETRY_INTERVAL_MS);
            askTimer = context.schedule(
                    context.nowMs() + SYNCHRONISE_RETRY_INTERVAL_MS + jitterMs, this::askUntilSynchronised);
        }
    }

    private boolean isRecent(LogRecord record, Context context) {
        return record.appendedAtMs() >= context.nowMs() - MAX_RECENT_AGE_MS;
    }

    private static void audit(AuditEntry.Kind kind, String subject, long ticket, String detail, Context context) {
        context.emit(new Effect.Audit(new AuditEntry(context.nowMs(), kind, subject, ticket, detail)));
    }
}
