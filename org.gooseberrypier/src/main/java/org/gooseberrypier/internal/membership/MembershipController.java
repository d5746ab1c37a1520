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

/** Sends and hears heartbeats, reads the zone's views from the log and proposes the next one. */
public final class MembershipController implements Controller {

    private static final long TICK_MS = 100;
    private static final long HEARTBEAT_MS = 500;
    private static final long PAUSE_MS = 1_000;
    private static final long LINK_DOWN_SUSPECT_MS = 500;
    private static final long FIRST_VIEW_WAIT_MS = 1_000;
    private static final int PROPOSAL_JITTER_MS = 150;
    private static final long PROPOSAL_RETRY_MS = 1_000;
    private static final long REWRITE_MS = 30_000;
    private static final int REWRITE_JITTER_MS = 5_000;
    private static final long RESTART_WAIT_MS = 3 * (REWRITE_MS + REWRITE_JITTER_MS);

    private final Blackboard board;
    private final ViewLog log;
    private boolean started;
    private boolean tailed;
    private long startedAtMs;
    private long tickDueAtMs;
    private long heartbeatAtMs;
    private long farHeartbeatAtMs;
    private long farTurn;
    private long proposeAtMs = Long.MAX_VALUE;
    private long proposalAllowedAtMs;
    private long rewriteAllowedAtMs;
    private long lostSinceMs;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     */
    public MembershipController(Blackboard board) {
        this.board = board;
        this.log = new ViewLog(board.views());
    }

    @Override
    public void handle(Event event, Context context) {
        start(context);
        if (event instanceof PeerEvent.Received r) {
            hear(r, context);
        } else if (event instanceof PeerEvent.LinkDown d) {
            suspect(d.vm(), context.nowMs() - MembershipSection.SUSPECT_TIMEOUT_MS + LINK_DOWN_SUSPECT_MS);
        } else if (event instanceof PeerEvent.ConnectionRefused r) {
            suspect(r.vm(), 0);
        } else if (event instanceof LogEvent.Read r && r.stream().equals(stream())) {
            read(r, context);
        } else if (event instanceof InternalEvent.ConfigurationChanged c) {
            board.membership().peers().keySet().retainAll(c.after().vms().keySet());
        } else if (event instanceof InternalEvent.Stopping) {
            beatZone(context);
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
        tickDueAtMs = context.nowMs() + TICK_MS;
        context.schedule(tickDueAtMs, this::tick);
    }

    private void tick(Context context) {
        long late = context.nowMs() - tickDueAtMs;
        if (late > PAUSE_MS) {
            excuseSilence(late);
        }
        scheduleTick(context);
        if (!tailed) {
            tailed = true;
            context.emit(new Effect.TailStream(stream()));
        }
        if (!board.tickets().inForce().isPresent()) {
            return;
        }
        if (context.nowMs() >= heartbeatAtMs) {
            beatZone(context);
        }
        if (context.nowMs() >= farHeartbeatAtMs) {
            beatOtherZones(context);
        }
        considerProposal(context);
        considerRewrite(context);
        considerRestart(context);
    }

    /** After a pause of this VM the silence of the others says nothing about them. */
    private void excuseSilence(long pauseMs) {
        for (PeerState p : board.membership().peers().values()) {
            p.setLastHeardAtMs(p.lastHeardAtMs() + pauseMs);
        }
    }

    private void hear(PeerEvent.Received received, Context context) {
        VmId vm = received.from().vm();
        if (!board.tickets().inForce().vms().containsKey(vm)) {
            return;
        }
        var peers = board.membership().peers();
        PeerState peer = peers.get(vm);
        if (peer == null || !peer.member().equals(received.from())) {
            peer = new PeerState(received.from(), context.nowMs());
            peers.put(vm, peer);
            introduce(vm, context);
        }
        peer.setLastHeardAtMs(Math.max(peer.lastHeardAtMs(), context.nowMs()));
        if (received.message() instanceof MembershipMessage.Heartbeat h) {
            peer.updateFromHeartbeat(h.ready(), h.viewNumber(), h.ticketNumber());
            if (isOwnZone(vm)) {
                noteActive(h);
            }
        }
    }

    /** Answers a member of another zone that is heard for the first time, so that both know each other at once. */
    private void introduce(VmId vm, Context context) {
        if (!isOwnZone(vm)) {
            beat(vm, context);
        }
    }

    private void noteActive(MembershipMessage.Heartbeat beat) {
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            if ((beat.activeShards() & 1L << s) != 0) {
                board.views().setActiveView(s, beat.viewNumber());
            }
        }
    }

    private void suspect(VmId vm, long heardAtMs) {
        PeerState peer = board.membership().peers().get(vm);
        if (peer != null) {
            peer.setLastHeardAtMs(Math.min(peer.lastHeardAtMs(), heardAtMs));
        }
    }

    private boolean isOwnZone(VmId vm) {
        VmSpec spec = board.tickets().inForce().vms().get(vm);
        return spec != null && spec.zone().equals(board.settings().zone());
    }

    private void beatZone(Context context) {
        heartbeatAtMs = context.nowMs() + HEARTBEAT_MS;
        for (VmId vm : inZone(board.settings().zone())) {
            beat(vm, context);
        }
    }

    private void beatOtherZones(Context context) {
        farHeartbeatAtMs = context.nowMs() + MembershipSection.REMOTE_HEARTBEAT_INTERVAL_MS;
        farTurn++;
        for (ZoneId z : board.tickets().inForce().zones()) {
            List<VmId> vms = inZone(z);
            if (z.equals(board.settings().zone()) || vms.isEmpty()) {
                continue;
            }
            if (farTurn == 1) {
                vms.forEach(vm -> beat(vm, context));
            } else {
                beat(vms.get((int) (farTurn % vms.size())), context);
            }
        }
    }

    private List<VmId> inZone(ZoneId zone) {
        TreeSet<VmId> vms = new TreeSet<>();
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            if (v.zone().equals(zone) && !v.id().equals(board.settings().self().vm())) {
                vms.add(v.id());
            }
        }
        return new ArrayList<>(vms);
    }

    private void beat(VmId to, Context context) {
        board.counters().increment(Counter.HEARTBEATS_SENT);
        context.emit(new Effect.SendPeer(
                to,
                new MembershipMessage.Heartbeat(
                        board.views().current().number(),
                        board.tickets().inForce().number(),
                        !board.lifecycle().isStopping(),
                        board.shards().activeMask())));
    }

    private void read(LogEvent.Read event, Context context) {
        long before = board.views().current().number();
        if (!log.applyRead(event, context.nowMs())) {
            context.emit(new Effect.TailStream(stream()));
        }
        if (!log.hasGap()) {
            lostSinceMs = 0;
        } else if (lostSinceMs == 0) {
            lostSinceMs = context.nowMs();
        }
        ZoneView now = board.views().current();
        if (now.number() == before) {
            return;
        }
        proposeAtMs = Long.MAX_VALUE;
        proposalAllowedAtMs = context.nowMs() + jitter(PROPOSAL_JITTER_MS, context);
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

    private void considerProposal(Context context) {
        List<Member> wanted = wantedMembers(context.nowMs());
        boolean changed =
                !wanted.isEmpty() && !wanted.equals(board.views().current().members());
        if (!changed || !log.isSynced() || waitsForOthers(wanted, context)) {
            proposeAtMs = Long.MAX_VALUE;
            return;
        }
        if (proposeAtMs == Long.MAX_VALUE) {
            proposeAtMs = Math.max(context.nowMs() + jitter(PROPOSAL_JITTER_MS, context), proposalAllowedAtMs);
        }
        if (context.nowMs() >= proposeAtMs) {
            proposeAtMs = context.nowMs() + PROPOSAL_RETRY_MS + jitter(PROPOSAL_JITTER_MS, context);
            append(ViewRecord.Kind.NEXT, next(board.views().current().number() + 1, wanted, context), context);
        }
    }

    /** Before its first view a VM gives the others of its zone a moment to be heard. */
    private boolean waitsForOthers(List<Member> wanted, Context context) {
        boolean all = wanted.size() > inZone(board.settings().zone()).size();
        return !board.views().current().isPresent() && !all && context.nowMs() < startedAtMs + FIRST_VIEW_WAIT_MS;
    }

    private List<Member> wantedMembers(long nowMs) {
        List<Member> wanted = new ArrayList<>();
        for (PeerState p : board.membership().peers().values()) {
            if (p.isReady()
                    && board.membership().isLive(p.member(), nowMs)
                    && belongs(p.member().vm())) {
                wanted.add(p.member());
            }
        }
        Member self = board.settings().self();
        if (belongs(self.vm()) && !board.lifecycle().isStopping()) {
            wanted.add(self);
        }
        wanted.sort(null);
        return wanted;
    }

    private boolean belongs(VmId vm) {
        VmSpec spec = board.tickets().inForce().vms().get(vm);
        return spec != null
                && !spec.leaving()
                && spec.zone().equals(board.settings().zone());
    }

    private ZoneView next(long number, List<Member> members, Context context) {
        Member self = board.settings().self();
        return new ZoneView(
                number, self + "-" + context.nextId(), board.tickets().inForce().number(), members);
    }

    /** Writes the view in force again before the log forgets it. */
    private void considerRewrite(Context context) {
        ZoneView current = board.views().current();
        boolean due = log.isSynced()
                && current.members().contains(board.settings().self())
                && context.nowMs() > log.lastWrittenAtMs() + REWRITE_MS
                && context.nowMs() >= rewriteAllowedAtMs;
        if (!due) {
            return;
        }
        long delay = jitter(REWRITE_JITTER_MS, context);
        if (rewriteAllowedAtMs < log.lastWrittenAtMs() + REWRITE_MS) {
            rewriteAllowedAtMs = context.nowMs() + delay;
            return;
        }
        rewriteAllowedAtMs = context.nowMs() + REWRITE_JITTER_MS + delay;
        append(ViewRecord.Kind.REWRITE, current, context);
    }

    /** Begins anew where no VM has written the view in force for long. */
    private void considerRestart(Context context) {
        boolean due = lostSinceMs != 0
                && context.nowMs() > lostSinceMs + RESTART_WAIT_MS
                && context.nowMs() >= proposalAllowedAtMs;
        List<Member> wanted = wantedMembers(context.nowMs());
        if (!due || wanted.isEmpty()) {
            return;
        }
        proposalAllowedAtMs = context.nowMs() + PROPOSAL_RETRY_MS + jitter(REWRITE_JITTER_MS, context);
        append(ViewRecord.Kind.RESTART, next(log.nextOffset() + 1, wanted, context), context);
    }

    private void append(ViewRecord.Kind kind, ZoneView view, Context context) {
        List<ZoneView> history = new ArrayList<>();
        if (kind != ViewRecord.Kind.RESTART) {
            history.addAll(board.views().older());
        }
        if (kind == ViewRecord.Kind.NEXT && board.views().current().isPresent()) {
            history.add(board.views().current());
        }
        ViewRecord r = ViewRecord.of(kind, view, log.nextOffset(), history);
        context.emit(new Effect.AppendLog(context.nextId(), stream(), ViewRecordCodec.format(r)));
    }

    private static long jitter(int boundMs, Context context) {
        return context.random().nextInt(boundMs);
    }
}
