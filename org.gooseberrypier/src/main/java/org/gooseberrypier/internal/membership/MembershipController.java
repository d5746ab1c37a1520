package org.gooseberrypier.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.MembershipSection;
import org.gooseberrypier.internal.board.PeerState;
import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.internal.board.ZoneView;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Controller;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.ticket.VmSpec;

/** Exchanges heartbeats with other VMs, replays the zone's views from the log and proposes new views. */
public final class MembershipController implements Controller {

    private static final long TICK_INTERVAL_MS = 100;
    private static final long HEARTBEAT_INTERVAL_MS = 500;
    private static final long PAUSE_THRESHOLD_MS = 1_000;
    private static final long LINK_DOWN_SUSPECT_TIMEOUT_MS = 500;
    private static final long FIRST_VIEW_TIMEOUT_MS = 1_000;
    private static final int PROPOSAL_JITTER_MS = 150;
    private static final long PROPOSAL_RETRY_DELAY_MS = 1_000;
    private static final long REWRITE_INTERVAL_MS = 30_000;
    private static final int REWRITE_JITTER_MS = 5_000;
    private static final long RESTART_TIMEOUT_MS = 3 * (REWRITE_INTERVAL_MS + REWRITE_JITTER_MS);

    private final Blackboard board;
    private final ViewLog viewLog;
    private boolean started;
    private boolean tailRequested;
    private long startedAtMs;
    private long tickDueAtMs;
    private long zoneHeartbeatAtMs;
    private long otherZonesHeartbeatAtMs;
    private long otherZonesRound;
    private long proposeAtMs = Long.MAX_VALUE;
    private long proposalNotBeforeMs;
    private long rewriteNotBeforeMs;
    private long gapSinceMs;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     */
    public MembershipController(Blackboard board) {
        this.board = board;
        this.viewLog = new ViewLog(board.views());
    }

    @Override
    public void handle(Event event, Context context) {
        start(context);
        if (event instanceof PeerEvent.Received r) {
            onMessage(r, context);
        } else if (event instanceof PeerEvent.LinkDown d) {
            lowerLastHeardTime(
                    d.vm(), context.nowMs() - MembershipSection.SUSPECT_TIMEOUT_MS + LINK_DOWN_SUSPECT_TIMEOUT_MS);
        } else if (event instanceof PeerEvent.ConnectionRefused r) {
            lowerLastHeardTime(r.vm(), 0);
        } else if (event instanceof LogEvent.Read r && r.stream().equals(stream())) {
            onRead(r, context);
        } else if (event instanceof InternalEvent.ConfigurationChanged c) {
            board.membership().peers().keySet().retainAll(c.after().vms().keySet());
        } else if (event instanceof InternalEvent.Stopping) {
            sendHeartbeatsInZone(context);
        }
    }

    private void start(Context context) {
        if (started) {
            return;
        }
        started = true;
        startedAtMs = context.nowMs();
        scheduleTick(context);
    }

    private StreamId stream() {
        return StreamId.views(board.settings().zone());
    }

    private void scheduleTick(Context context) {
        tickDueAtMs = context.nowMs() + TICK_INTERVAL_MS;
        context.schedule(tickDueAtMs, this::tick);
    }

    private void tick(Context context) {
        long lateMs = context.nowMs() - tickDueAtMs;
        if (lateMs > PAUSE_THRESHOLD_MS) {
            shiftLastHeardTimes(lateMs);
        }
        scheduleTick(context);
        if (!tailRequested) {
            tailRequested = true;
            context.emit(new Effect.TailStream(stream()));
        }
        if (!board.tickets().inForce().isPresent()) {
            return;
        }
        if (context.nowMs() >= zoneHeartbeatAtMs) {
            sendHeartbeatsInZone(context);
        }
        if (context.nowMs() >= otherZonesHeartbeatAtMs) {
            sendHeartbeatsToOtherZones(context);
        }
        proposeIfDue(context);
        rewriteIfDue(context);
        restartIfDue(context);
    }

    /** Adds the length of a pause of this VM to the last-heard times, so that the pause makes no peer suspected. */
    private void shiftLastHeardTimes(long pauseMs) {
        for (PeerState p : board.membership().peers().values()) {
            p.setLastHeardAtMs(p.lastHeardAtMs() + pauseMs);
        }
    }

    private void onMessage(PeerEvent.Received received, Context context) {
        VmId vm = received.from().vm();
        if (!board.tickets().inForce().vms().containsKey(vm)) {
            return;
        }
        var peers = board.membership().peers();
        PeerState peer = peers.get(vm);
        if (peer == null || !peer.member().equals(received.from())) {
            peer = new PeerState(received.from(), context.nowMs());
            peers.put(vm, peer);
            sendFirstHeartbeat(vm, context);
        }
        peer.setLastHeardAtMs(Math.max(peer.lastHeardAtMs(), context.nowMs()));
        if (received.message() instanceof MembershipMessage.Heartbeat h) {
            peer.updateFromHeartbeat(h.ready(), h.viewNumber(), h.ticketNumber());
            if (isOwnZone(vm)) {
                recordActiveShards(h);
            }
        }
    }

    /** Answers the first message of a member of another zone, so that it need not wait for the next heartbeat round. */
    private void sendFirstHeartbeat(VmId vm, Context context) {
        if (!isOwnZone(vm)) {
            sendHeartbeat(vm, context);
        }
    }

    private void recordActiveShards(MembershipMessage.Heartbeat heartbeat) {
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            if ((heartbeat.activeShards() & 1L << s) != 0) {
                board.views().setActiveView(s, heartbeat.viewNumber());
            }
        }
    }

    private void lowerLastHeardTime(VmId vm, long heardAtMs) {
        PeerState peer = board.membership().peers().get(vm);
        if (peer != null) {
            peer.setLastHeardAtMs(Math.min(peer.lastHeardAtMs(), heardAtMs));
        }
    }

    private boolean isOwnZone(VmId vm) {
        VmSpec spec = board.tickets().inForce().vms().get(vm);
        return spec != null && spec.zone().equals(board.settings().zone());
    }

    private void sendHeartbeatsInZone(Context context) {
        zoneHeartbeatAtMs = context.nowMs() + HEARTBEAT_INTERVAL_MS;
        for (VmId vm : otherVmsIn(board.settings().zone())) {
            sendHeartbeat(vm, context);
        }
    }

    private void sendHeartbeatsToOtherZones(Context context) {
        otherZonesHeartbeatAtMs = context.nowMs() + MembershipSection.REMOTE_HEARTBEAT_INTERVAL_MS;
        otherZonesRound++;
        for (ZoneId z : board.tickets().inForce().zones()) {
            List<VmId> vms = otherVmsIn(z);
            if (z.equals(board.settings().zone()) || vms.isEmpty()) {
                continue;
            }
            if (otherZonesRound == 1) {
                vms.forEach(vm -> sendHeartbeat(vm, context));
            } else {
                sendHeartbeat(vms.get((int) (otherZonesRound % vms.size())), context);
            }
        }
    }

    private List<VmId> otherVmsIn(ZoneId zone) {
        TreeSet<VmId> vms = new TreeSet<>();
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            if (v.zone().equals(zone) && !v.id().equals(board.settings().self().vm())) {
                vms.add(v.id());
            }
        }
        return new ArrayList<>(vms);
    }

    private void sendHeartbeat(VmId to, Context context) {
        board.counters().increment(Counter.HEARTBEATS_SENT);
        context.emit(new Effect.SendPeer(
                to,
                new MembershipMessage.Heartbeat(
                        board.views().current().number(),
                        board.tickets().inForce().number(),
                        !board.lifecycle().isStopping(),
                        board.shards().activeMask())));
    }

    private void onRead(LogEvent.Read event, Context context) {
        long previousNumber = board.views().current().number();
        if (!viewLog.applyRead(event, context.nowMs())) {
            context.emit(new Effect.TailStream(stream()));
        }
        if (!viewLog.hasGap()) {
            gapSinceMs = 0;
        } else if (gapSinceMs == 0) {
            gapSinceMs = context.nowMs();
        }
        ZoneView now = board.views().current();
        if (now.number() == previousNumber) {
            return;
        }
        proposeAtMs = Long.MAX_VALUE;
        proposalNotBeforeMs = context.nowMs() + jitter(PROPOSAL_JITTER_MS, context);
        board.counters().increment(Counter.VIEWS_CHANGED);
        audit(now, context);
        context.raise(new InternalEvent.ViewChanged(now.number()));
    }

    private void audit(ZoneView view, Context context) {
        if (view.members().get(0).equals(board.settings().self())) {
            context.emit(new Effect.Audit(new AuditEntry(
                    context.nowMs(),
                    AuditEntry.Kind.VIEW_CHANGED,
                    board.settings().zone() + " view " + view.number(),
                    board.tickets().inForce().number(),
                    view.members().toString())));
        }
    }

    private void proposeIfDue(Context context) {
        List<Member> proposed = proposedMembers(context.nowMs());
        boolean changed =
                !proposed.isEmpty() && !proposed.equals(board.views().current().members());
        if (!changed || !viewLog.isSynced() || waitsForOthers(proposed, context)) {
            proposeAtMs = Long.MAX_VALUE;
            return;
        }
        if (proposeAtMs == Long.MAX_VALUE) {
            proposeAtMs = Math.max(context.nowMs() + jitter(PROPOSAL_JITTER_MS, context), proposalNotBeforeMs);
        }
        if (context.nowMs() >= proposeAtMs) {
            proposeAtMs = context.nowMs() + PROPOSAL_RETRY_DELAY_MS + jitter(PROPOSAL_JITTER_MS, context);
            append(ViewRecord.Kind.NEXT, newView(board.views().current().number() + 1, proposed, context), context);
        }
    }

    /** Returns whether the first proposal still waits until all VMs of the zone are ready or the timeout is over. */
    private boolean waitsForOthers(List<Member> proposed, Context context) {
        boolean allReady = proposed.size() > otherVmsIn(board.settings().zone()).size();
        return !board.views().current().isPresent()
                && !allReady
                && context.nowMs() < startedAtMs + FIRST_VIEW_TIMEOUT_MS;
    }

    private List<Member> proposedMembers(long nowMs) {
        List<Member> proposed = new ArrayList<>();
        for (PeerState p : board.membership().peers().values()) {
            if (p.isReady()
                    && board.membership().isLive(p.member(), nowMs)
                    && isEligible(p.member().vm())) {
                proposed.add(p.member());
            }
        }
        Member self = board.settings().self();
        if (isEligible(self.vm()) && !board.lifecycle().isStopping()) {
            proposed.add(self);
        }
        proposed.sort(null);
        return proposed;
    }

    private boolean isEligible(VmId vm) {
        VmSpec spec = board.tickets().inForce().vms().get(vm);
        return spec != null
                && !spec.leaving()
                && spec.zone().equals(board.settings().zone());
    }

    private ZoneView newView(long number, List<Member> members, Context context) {
        Member self = board.settings().self();
        return new ZoneView(
                number, self + "-" + context.nextId(), board.tickets().inForce().number(), members);
    }

    /** Appends the current view again before its record expires from the log. */
    private void rewriteIfDue(Context context) {
        ZoneView current = board.views().current();
        boolean due = viewLog.isSynced()
                && current.members().contains(board.settings().self())
                && context.nowMs() > viewLog.lastWrittenAtMs() + REWRITE_INTERVAL_MS
                && context.nowMs() >= rewriteNotBeforeMs;
        if (!due) {
            return;
        }
        long delay = jitter(REWRITE_JITTER_MS, context);
        if (rewriteNotBeforeMs < viewLog.lastWrittenAtMs() + REWRITE_INTERVAL_MS) {
            rewriteNotBeforeMs = context.nowMs() + delay;
            return;
        }
        rewriteNotBeforeMs = context.nowMs() + REWRITE_JITTER_MS + delay;
        append(ViewRecord.Kind.REWRITE, current, context);
    }

    /** Proposes a restart if the zone's current view is unknown here and no VM has rewritten it within the timeout. */
    private void restartIfDue(Context context) {
        boolean due = gapSinceMs != 0
                && context.nowMs() > gapSinceMs + RESTART_TIMEOUT_MS
                && context.nowMs() >= proposalNotBeforeMs;
        List<Member> proposed = proposedMembers(context.nowMs());
        if (!due || proposed.isEmpty()) {
            return;
        }
        proposalNotBeforeMs = context.nowMs() + PROPOSAL_RETRY_DELAY_MS + jitter(REWRITE_JITTER_MS, context);
        append(ViewRecord.Kind.RESTART, newView(viewLog.nextOffset() + 1, proposed, context), context);
    }

    private void append(ViewRecord.Kind kind, ZoneView view, Context context) {
        List<ZoneView> history = new ArrayList<>();
        if (kind != ViewRecord.Kind.RESTART) {
            history.addAll(board.views().older());
        }
        if (kind == ViewRecord.Kind.NEXT && board.views().current().isPresent()) {
            history.add(board.views().current());
        }
        ViewRecord r = ViewRecord.of(kind, view, viewLog.nextOffset(), history);
        context.emit(new Effect.AppendLog(context.nextId(), stream(), ViewRecordCodec.format(r)));
    }

    private static long jitter(int boundMs, Context context) {
        return context.random().nextInt(boundMs);
    }
}
