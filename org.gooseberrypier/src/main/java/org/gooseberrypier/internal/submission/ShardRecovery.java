package org.gooseberrypier.internal.submission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.PeerState;
import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.internal.board.ShardState;
import org.gooseberrypier.internal.board.ShardState.Phase;
import org.gooseberrypier.internal.board.ZoneView;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.MembershipMessage.Collect;
import org.gooseberrypier.peer.MembershipMessage.Collected;
import org.gooseberrypier.peer.MembershipMessage.CopyShard;
import org.gooseberrypier.peer.MembershipMessage.ShardCopied;
import org.gooseberrypier.peer.ShardSnapshot;
import org.gooseberrypier.ticket.VmSpec;

/**
 * Transfers the state of key shards from the holders in older views to the holders in the current view.
 *
 * <p>The new primary scans the older views, newest first. In each view one holder seals the shard below the current
 * view, so that no job can start under the older view any more, and returns its state. If that holder does not have
 * the whole shard, the older view can never become active, and the scan moves to the next older view. A view whose
 * holders do not answer is abandoned only if at least one of them has provably ended. Keys submitted before the view
 * was abandoned are then refused, because their jobs may have started.
 */
final class ShardRecovery {

    private static final long RETRY_BACKOFF_MS = 200;
    private static final long MAX_RETRY_BACKOFF_MS = 1_600;
    private static final long PREFERRED_HOLDER_TIMEOUT_MS = 300;
    private static final long HOLDER_TIMEOUT_MS = 3_000;
    private static final long REFUSAL_CONFIRMATION_MS = 400;

    private final Blackboard board;
    private final RecordStore store;
    private final SafetyGuards guards;
    private final RoleListener listener;
    private final Map<Integer, ViewScan> scans = new HashMap<>();
    private final Map<VmId, Refusals> refusals = new HashMap<>();

    ShardRecovery(Blackboard board, RecordStore store, SafetyGuards guards, RoleListener listener) {
        this.board = board;
        this.store = store;
        this.guards = guards;
        this.listener = listener;
    }

    /** Receives changes of this VM's role for a shard. */
    interface RoleListener {

        /** This VM is now the active primary of a shard. */
        void activated(int shard, Context context);

        /** The state of a shard on this VM is about to be replaced by that of another holder. */
        void replacing(int shard, Context context);

        /** This VM is no longer the primary of a shard; jobs that are recorded but not admitted must not start. */
        void deactivated(int shard, Context context);
    }

    void handle(Event event, Context context) {
        if (event instanceof InternalEvent.ViewChanged) {
            startRecovery(context);
        } else if (event instanceof PeerEvent.ConnectionRefused r) {
            addRefusal(r.vm(), context);
        } else if (event instanceof PeerEvent.Received r && r.message() instanceof MembershipMessage m) {
            receive(r.from(), m, context);
        }
    }

    /** Resends requests that have not been answered within their backoff. */
    void tick(Context context) {
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            ViewScan scan = scans.get(s);
            if (scan != null && context.nowMs() >= scan.retryAtMs) {
                scan.increaseBackoff(context.nowMs());
                retry(s, scan, context);
            }
        }
    }

    private void startRecovery(Context context) {
        refusals.clear();
        scans.clear();
        ZoneView view = board.views().current();
        Member self = board.settings().self();
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            ShardState shard = board.shards().get(s);
            if (view.holders(s).primary().equals(self) && shard.sealedBelow() <= view.number()) {
                shard.setPhase(Phase.COLLECTING);
                scans.put(s, new ViewScan(board.views().older(), context.nowMs()));
                collectState(s, context);
            } else {
                deactivate(s, context);
            }
        }
    }

    private void deactivate(int s, Context context) {
        board.shards().get(s).setPhase(Phase.PASSIVE);
        scans.remove(s);
        listener.deactivated(s, context);
    }

    private void addRefusal(VmId vm, Context context) {
        refusals.merge(vm, new Refusals(context.nowMs(), context.nowMs()), (a, b) -> new Refusals(a.firstMs, b.lastMs));
    }

    private void receive(Member from, MembershipMessage message, Context context) {
        if (message instanceof Collect c) {
            handleCollect(from, c, context);
        } else if (message instanceof Collected c) {
            handleCollected(from, c, context);
        } else if (message instanceof CopyShard c) {
            handleCopyShard(from, c, context);
        } else if (message instanceof ShardCopied c) {
            handleShardCopied(from, c, context);
        } else if (message instanceof MembershipMessage.Heartbeat) {
            dropSuperseded(context);
        }
    }

    /** Drops the state of shards that have become active in a newer view than the state on this VM. */
    private void dropSuperseded(Context context) {
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            ShardState shard = board.shards().get(s);
            shard.setActiveView(board.views().activeView(s));
            if (shard.completeView() > 0 && shard.activeView() > shard.completeView()) {
                if (shard.activeView() > board.views().current().number()) {
                    deactivate(s, context);
                }
                shard.setCompleteView(0);
                store.clear(s);
            }
        }
    }

    // Role of an old holder: seals the shard and returns its state.

    private void handleCollect(Member from, Collect c, Context context) {
        Member self = board.settings().self();
        Optional<ShardSnapshot> snapshot = Optional.empty();
        if (c.holder().equals(self)) {
            seal(c.shard(), c.target(), context);
            snapshot = Optional.of(board.shards().get(c.shard()).snapshot());
        }
        send(from.vm(), new Collected(c.target(), c.shard(), c.from(), c.holder(), snapshot), context);
    }

    private void seal(int s, long target, Context context) {
        if (!guards.seal()) {
            return;
        }
        board.shards().get(s).sealBelow(target);
        if (board.views().current().number() < target) {
            deactivate(s, context);
        }
    }

    // Role of the new primary: collects the state, copies it to the backup and activates the shard.

    private void collectState(int s, Context context) {
        ViewScan scan = scans.get(s);
        while (scan != null && board.shards().get(s).phase() == Phase.COLLECTING) {
            ZoneView view = scan.view();
            if (view == null) {
                finishScan(s, scan, context);
                return;
            }
            if (!useLocalState(s, scan, view, context)) {
                requestFromPreferredHolder(s, scan, view, context);
                return;
            }
        }
    }

    /**
     * Uses the state on this VM if this VM is a holder in the older view and does not have to wait for the primary.
     *
     * @return whether the state was adopted or the scan moved to an older view
     */
    private boolean useLocalState(int s, ViewScan scan, ZoneView view, Context context) {
        Member self = board.settings().self();
        ShardHolders old = view.holders(s);
        boolean preferPrimary = old.backup().filter(self::equals).isPresent()
                && board.membership().isLive(old.primary(), context.nowMs())
                && context.nowMs() < scan.viewStartedAtMs + PREFERRED_HOLDER_TIMEOUT_MS;
        if (!old.contains(self) || preferPrimary) {
            return false;
        }
        board.shards().get(s).sealBelow(board.views().current().number());
        return applyState(
                s, scan, view, new RecoveredState(board.shards().get(s).snapshot(), true), context);
    }

    /**
     * Adopts the state of a sealed holder, or moves to an older view if the holder has no complete state.
     *
     * @return whether the state was adopted or the scan moved to an older view
     */
    private boolean applyState(int s, ViewScan scan, ZoneView view, RecoveredState recovered, Context context) {
        ShardSnapshot state = recovered.snapshot();
        if (state.activeView() >= board.views().current().number()) {
            return false;
        }
        board.views().setActiveView(s, state.activeView());
        if (state.completeView() >= view.number()) {
            adopt(s, scan, recovered, context);
        } else if (state.activeView() < view.number()) {
            scan.moveToOlderView(context.nowMs());
        } else if (scan.lostAtMs > 0) {
            adopt(s, scan, RecoveredState.NONE, context);
        } else {
            return false;
        }
        return true;
    }

    private void requestFromPreferredHolder(int s, ViewScan scan, ZoneView view, Context context) {
        ShardHolders old = view.holders(s);
        boolean primaryLive = board.membership().isLive(old.primary(), context.nowMs());
        Member preferred = primaryLive ? old.primary() : old.backup().orElse(old.primary());
        requestState(s, view, preferred, context);
    }

    private void requestState(int s, ZoneView view, Member holder, Context context) {
        if (!holder.equals(board.settings().self())) {
            long target = board.views().current().number();
            send(holder.vm(), new Collect(target, s, view.number(), holder), context);
        }
    }

    private void handleCollected(Member from, Collected c, Context context) {
        ViewScan scan = scans.get(c.shard());
        ZoneView view = scan == null ? null : scan.view();
        boolean expected = view != null
                && board.shards().get(c.shard()).phase() == Phase.COLLECTING
                && c.target() == board.views().current().number()
                && c.from() == view.number()
                && view.holders(c.shard()).contains(c.holder());
        if (!expected) {
            return;
        }
        if (c.snapshot().isEmpty() && from.vm().equals(c.holder().vm())) {
            scan.endedMembers.add(c.holder());
            abandonViewIfUnrecoverable(c.shard(), scan, view, context);
        } else if (c.snapshot().isPresent() && from.equals(c.holder())) {
            if (applyState(
                    c.shard(), scan, view, new RecoveredState(c.snapshot().get(), false), context)) {
                collectState(c.shard(), context);
            }
        }
    }

    private void retry(int s, ViewScan scan, Context context) {
        if (board.shards().get(s).phase() == Phase.COPYING) {
            copyToBackup(s, scan, context);
            return;
        }
        ZoneView view = scan.view();
        if (view == null) {
            finishScan(s, scan, context);
        } else if (useLocalState(s, scan, view, context)) {
            collectState(s, context);
        } else {
            view.holders(s).list().forEach(h -> requestState(s, view, h, context));
            abandonViewIfUnrecoverable(s, scan, view, context);
        }
    }

    /** Abandons a view if all holders have provably ended, or if one has and the other has not answered in time. */
    private void abandonViewIfUnrecoverable(int s, ViewScan scan, ZoneView view, Context context) {
        List<Member> holders = view.holders(s).list();
        long ended = holders.stream().filter(h -> hasEnded(scan, h)).count();
        boolean waited = context.nowMs() >= scan.viewStartedAtMs + HOLDER_TIMEOUT_MS;
        if (ended == 0 || ended < holders.size() && !waited) {
            return;
        }
        scan.lostAtMs = context.nowMs();
        if (board.views().activeView(s) >= view.number()) {
            adopt(s, scan, RecoveredState.NONE, context);
        } else {
            scan.moveToOlderView(context.nowMs());
            collectState(s, context);
        }
    }

    /** Tells whether a member of an older view has provably ended since the current view was installed. */
    private boolean hasEnded(ViewScan scan, Member holder) {
        if (holder.equals(board.settings().self())) {
            return false;
        }
        PeerState peer = board.membership().peers().get(holder.vm());
        boolean replaced = peer != null && !peer.member().equals(holder) && hasCurrentView(peer);
        return replaced || scan.endedMembers.contains(holder) || isDown(holder.vm());
    }

    private boolean isDown(VmId vm) {
        if (vm.equals(board.settings().self().vm())) {
            return true;
        }
        Refusals r = refusals.get(vm);
        boolean refused = r != null && r.lastMs >= r.firstMs + REFUSAL_CONFIRMATION_MS;
        return refused || !board.tickets().inForce().vms().containsKey(vm);
    }

    private boolean hasCurrentView(PeerState peer) {
        return peer.viewNumber() >= board.views().current().number();
    }

    private void finishScan(int s, ViewScan scan, Context context) {
        if (board.views().isHistoryComplete() || noMemberUsesOlderViews()) {
            if (!board.views().isHistoryComplete()) {
                scan.lostAtMs = context.nowMs();
            }
            adopt(s, scan, RecoveredState.NONE, context);
        }
    }

    /**
     * Tells whether every VM of the zone either knows the current view or has ended, which is required if the oldest
     * views are not known.
     */
    private boolean noMemberUsesOlderViews() {
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            PeerState peer = board.membership().peers().get(v.id());
            boolean hasView = peer != null && hasCurrentView(peer);
            if (v.zone().equals(board.settings().zone()) && !hasView && !isDown(v.id())) {
                return false;
            }
        }
        return board.tickets().inForce().isPresent();
    }

    private void adopt(int s, ViewScan scan, RecoveredState recovered, Context context) {
        ShardState shard = board.shards().get(s);
        ZoneView view = board.views().current();
        ZoneView old = scan.view();
        boolean samePair = recovered.local() && old != null && old.holders(s).equals(view.holders(s));
        scan.unchangedSince = samePair && scan.lostAtMs == 0 ? shard.completeView() : 0;
        if (!recovered.local()) {
            listener.replacing(s, context);
            store.replace(s, recovered.snapshot());
        }
        if (scan.lostAtMs > 0) {
            markLost(s, scan, context);
        }
        shard.setCompleteView(view.number());
        shard.sealBelow(view.number());
        shard.setPhase(Phase.COPYING);
        scan.resetRetry(context.nowMs());
        copyToBackup(s, scan, context);
    }

    private void markLost(int s, ViewScan scan, Context context) {
        board.counters().increment(Counter.SHARDS_LOST);
        if (guards.keyAge()) {
            long skew = board.settings().maxClockSkewMs();
            long retention = board.tickets().inForce().limits().keyRetentionMs();
            board.shards().get(s).markLost(scan.lostAtMs + skew, scan.lostAtMs + retention + skew);
        }
    }

    private void copyToBackup(int s, ViewScan scan, Context context) {
        ZoneView view = board.views().current();
        Optional<Member> backup = view.holders(s).backup();
        if (backup.isEmpty()) {
            activate(s, context);
            return;
        }
        ShardState shard = board.shards().get(s);
        Optional<ShardSnapshot> state = scan.unchangedSince > 0 ? Optional.empty() : Optional.of(shard.snapshot());
        send(backup.get().vm(), new CopyShard(view.number(), s, scan.unchangedSince, state), context);
    }

    private void handleShardCopied(Member from, ShardCopied c, Context context) {
        ViewScan scan = scans.get(c.shard());
        ZoneView view = board.views().current();
        boolean expected = scan != null
                && c.view() == view.number()
                && board.shards().get(c.shard()).phase() == Phase.COPYING
                && view.holders(c.shard()).backup().filter(from::equals).isPresent();
        if (!expected) {
            return;
        }
        if (c.held()) {
            activate(c.shard(), context);
        } else {
            scan.unchangedSince = 0;
            scan.resetRetry(context.nowMs());
            copyToBackup(c.shard(), scan, context);
        }
    }

    private void activate(int s, Context context) {
        ShardState shard = board.shards().get(s);
        long view = board.views().current().number();
        if (shard.sealedBelow() > view) {
            deactivate(s, context);
            return;
        }
        scans.remove(s);
        shard.setPhase(Phase.ACTIVE);
        shard.setActiveView(view);
        board.views().setActiveView(s, view);
        listener.activated(s, context);
    }

    // Role of the new backup: takes over the state of the primary.

    private void handleCopyShard(Member from, CopyShard c, Context context) {
        ZoneView view = board.views().current();
        ShardState shard = board.shards().get(c.shard());
        boolean allowed = c.view() == view.number()
                && view.holders(c.shard()).primary().equals(from)
                && view.holders(c.shard())
                        .backup()
                        .filter(board.settings().self()::equals)
                        .isPresent()
                && shard.sealedBelow() <= c.view();
        if (!allowed) {
            return;
        }
        boolean held = shard.completeView() == c.view();
        if (!held && c.snapshot().isPresent()) {
            store.replace(c.shard(), c.snapshot().get());
            held = true;
        } else if (!held) {
            held = shard.completeView() == c.unchangedSince();
        }
        if (held) {
            shard.setCompleteView(c.view());
        }
        send(from.vm(), new ShardCopied(c.view(), c.shard(), held), context);
    }

    private static void send(VmId to, MembershipMessage message, Context context) {
        context.emit(new Effect.SendPeer(to, message));
    }

    /** The scan over the older views for one shard, newest view first. */
    private static final class ViewScan {

        private final List<ZoneView> older;
        private final Set<Member> endedMembers = new HashSet<>();
        private int index;
        private long viewStartedAtMs;
        private long retryAtMs;
        private long backoffMs;
        private long lostAtMs;
        private long unchangedSince;

        ViewScan(List<ZoneView> older, long nowMs) {
            this.older = older;
            this.index = older.size() - 1;
            this.viewStartedAtMs = nowMs;
            resetRetry(nowMs);
        }

        /** Returns the older view that is being scanned, null after the oldest one. */
        ZoneView view() {
            return index < 0 ? null : older.get(index);
        }

        void moveToOlderView(long nowMs) {
            index--;
            viewStartedAtMs = nowMs;
            resetRetry(nowMs);
        }

        void resetRetry(long nowMs) {
            backoffMs = RETRY_BACKOFF_MS;
            retryAtMs = nowMs + backoffMs;
        }

        void increaseBackoff(long nowMs) {
            backoffMs = Math.min(2 * backoffMs, MAX_RETRY_BACKOFF_MS);
            retryAtMs = nowMs + backoffMs;
        }
    }

    /**
     * A state with which a shard continues.
     *
     * @param snapshot the state
     * @param local whether the state is already on this VM
     */
    private record RecoveredState(ShardSnapshot snapshot, boolean local) {
        static final RecoveredState NONE = new RecoveredState(new ShardSnapshot(0, 0, 0, 0, 0, List.of()), false);
    }

    /**
     * The times at which the host of a VM refused connections since the current view was installed.
     *
     * @param firstMs the first refusal, in milliseconds since the epoch
     * @param lastMs the last refusal, in milliseconds since the epoch
     */
    private record Refusals(long firstMs, long lastMs) {}
}
