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
 * Moves key shards from the holders of older views to those of the view in force.
 *
 * <p>The new primary walks back over the older views. At each, one holder seals itself below the view in force, so
 * that nothing starts under the older view any more, and gives its state if it holds the whole shard. A view of which
 * a holder is sealed without the whole shard can never become active, and the walk goes on. A view whose holders do
 * not answer is given up only with proof that one of them has ended; keys of before are then never started.
 */
final class ShardRecovery {

    private static final long RETRY_MS = 200;
    private static final long MAX_RETRY_MS = 1_600;
    private static final long FIRST_CHOICE_MS = 300;
    private static final long GIVE_UP_MS = 3_000;
    private static final long REFUSED_AGAIN_MS = 400;

    private final Blackboard board;
    private final RecordStore store;
    private final SafetyGuards guards;
    private final RoleListener listener;
    private final Map<Integer, Walk> walks = new HashMap<>();
    private final Map<VmId, Refusals> refusals = new HashMap<>();

    ShardRecovery(Blackboard board, RecordStore store, SafetyGuards guards, RoleListener listener) {
        this.board = board;
        this.store = store;
        this.guards = guards;
        this.listener = listener;
    }

    /** Hears of shards that this VM begins or ceases to decide about. */
    interface RoleListener {

        /** This VM decides about the keys of a shard from now on. */
        void activated(int shard, Context context);

        /** The state of another holder is about to take the place of this VM's. */
        void replacing(int shard, Context context);

        /** This VM does not decide about the keys of a shard any more; nothing recorded but not admitted may start. */
        void deactivated(int shard, Context context);
    }

    void handle(Event event, Context context) {
        if (event instanceof InternalEvent.ViewChanged) {
            changeView(context);
        } else if (event instanceof PeerEvent.ConnectionRefused r) {
            refuse(r.vm(), context);
        } else if (event instanceof PeerEvent.Received r && r.message() instanceof MembershipMessage m) {
            receive(r.from(), m, context);
        }
    }

    /** Repeats what was not answered. */
    void tick(Context context) {
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            Walk walk = walks.get(s);
            if (walk != null && context.nowMs() >= walk.retryAtMs) {
                walk.backOff(context.nowMs());
                retry(s, walk, context);
            }
        }
    }

    private void changeView(Context context) {
        refusals.clear();
        walks.clear();
        ZoneView view = board.views().current();
        Member self = board.settings().self();
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            ShardState shard = board.shards().get(s);
            if (view.holders(s).primary().equals(self) && shard.sealedBelow() <= view.number()) {
                shard.setPhase(Phase.COLLECTING);
                walks.put(s, new Walk(board.views().older(), context.nowMs()));
                collect(s, context);
            } else {
                leave(s, context);
            }
        }
    }

    private void leave(int s, Context context) {
        board.shards().get(s).setPhase(Phase.PASSIVE);
        walks.remove(s);
        listener.deactivated(s, context);
    }

    private void refuse(VmId vm, Context context) {
        refusals.merge(vm, new Refusals(context.nowMs(), context.nowMs()), (a, b) -> new Refusals(a.firstMs, b.lastMs));
    }

    private void receive(Member from, MembershipMessage message, Context context) {
        if (message instanceof Collect c) {
            beCollected(from, c, context);
        } else if (message instanceof Collected c) {
            takeCollected(from, c, context);
        } else if (message instanceof CopyShard c) {
            takeCopy(from, c, context);
        } else if (message instanceof ShardCopied c) {
            takeCopied(from, c, context);
        } else if (message instanceof MembershipMessage.Heartbeat) {
            dropSuperseded(context);
        }
    }

    /** Forgets the states of shards that are active in a newer view than the one in which they were complete here. */
    private void dropSuperseded(Context context) {
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            ShardState shard = board.shards().get(s);
            shard.setActiveView(board.views().activeView(s));
            if (shard.completeView() > 0 && shard.activeView() > shard.completeView()) {
                if (shard.activeView() > board.views().current().number()) {
                    leave(s, context);
                }
                shard.setCompleteView(0);
                store.clear(s);
            }
        }
    }

    // The side of the old holder.

    private void beCollected(Member from, Collect c, Context context) {
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
            leave(s, context);
        }
    }

    // The side of the new primary.

    private void collect(int s, Context context) {
        Walk walk = walks.get(s);
        while (walk != null && board.shards().get(s).phase() == Phase.COLLECTING) {
            ZoneView view = walk.view();
            if (view == null) {
                endOfHistory(s, walk, context);
                return;
            }
            if (!collectHere(s, walk, view, context)) {
                askFirstChoice(s, walk, view, context);
                return;
            }
        }
    }

    /** Uses what this VM holds itself as an old holder; tells whether the walk went on. */
    private boolean collectHere(int s, Walk walk, ZoneView view, Context context) {
        Member self = board.settings().self();
        ShardHolders old = view.holders(s);
        boolean other = old.backup().filter(self::equals).isPresent()
                && board.membership().isLive(old.primary(), context.nowMs())
                && context.nowMs() < walk.stepAtMs + FIRST_CHOICE_MS;
        if (!old.contains(self) || other) {
            return false;
        }
        board.shards().get(s).sealBelow(board.views().current().number());
        return useState(s, walk, view, new Found(board.shards().get(s).snapshot(), true), context);
    }

    /** Takes the state of a sealed holder, or goes to an older view if it has none; tells whether either was done. */
    private boolean useState(int s, Walk walk, ZoneView view, Found found, Context context) {
        ShardSnapshot state = found.state();
        if (state.activeView() >= board.views().current().number()) {
            return false;
        }
        board.views().setActiveView(s, state.activeView());
        if (state.completeView() >= view.number()) {
            adopt(s, walk, found, context);
        } else if (state.activeView() < view.number()) {
            walk.goOlder(context.nowMs());
        } else if (walk.lostAtMs > 0) {
            adopt(s, walk, Found.NOTHING, context);
        } else {
            return false;
        }
        return true;
    }

    private void askFirstChoice(int s, Walk walk, ZoneView view, Context context) {
        ShardHolders old = view.holders(s);
        boolean primaryLive = board.membership().isLive(old.primary(), context.nowMs());
        Member choice = primaryLive ? old.primary() : old.backup().orElse(old.primary());
        ask(s, view, choice, context);
    }

    private void ask(int s, ZoneView view, Member holder, Context context) {
        if (!holder.equals(board.settings().self())) {
            long target = board.views().current().number();
            send(holder.vm(), new Collect(target, s, view.number(), holder), context);
        }
    }

    private void takeCollected(Member from, Collected c, Context context) {
        Walk walk = walks.get(c.shard());
        ZoneView view = walk == null ? null : walk.view();
        boolean expected = view != null
                && board.shards().get(c.shard()).phase() == Phase.COLLECTING
                && c.target() == board.views().current().number()
                && c.from() == view.number()
                && view.holders(c.shard()).contains(c.holder());
        if (!expected) {
            return;
        }
        if (c.snapshot().isEmpty() && from.vm().equals(c.holder().vm())) {
            walk.ended.add(c.holder());
            considerGivingUp(c.shard(), walk, view, context);
        } else if (c.snapshot().isPresent() && from.equals(c.holder())) {
            if (useState(c.shard(), walk, view, new Found(c.snapshot().get(), false), context)) {
                collect(c.shard(), context);
            }
        }
    }

    private void retry(int s, Walk walk, Context context) {
        if (board.shards().get(s).phase() == Phase.COPYING) {
            copy(s, walk, context);
            return;
        }
        ZoneView view = walk.view();
        if (view == null) {
            endOfHistory(s, walk, context);
        } else if (collectHere(s, walk, view, context)) {
            collect(s, context);
        } else {
            view.holders(s).list().forEach(h -> ask(s, view, h, context));
            considerGivingUp(s, walk, view, context);
        }
    }

    /** Gives up a view of which one holder has provably ended and the other does not answer. */
    private void considerGivingUp(int s, Walk walk, ZoneView view, Context context) {
        List<Member> holders = view.holders(s).list();
        long ended = holders.stream().filter(h -> hasEnded(walk, h)).count();
        boolean waited = context.nowMs() >= walk.stepAtMs + GIVE_UP_MS;
        if (ended == 0 || ended < holders.size() && !waited) {
            return;
        }
        walk.lostAtMs = context.nowMs();
        if (board.views().activeView(s) >= view.number()) {
            adopt(s, walk, Found.NOTHING, context);
        } else {
            walk.goOlder(context.nowMs());
            collect(s, context);
        }
    }

    /** Tells whether a member of an older view has provably ended since the view in force began. */
    private boolean hasEnded(Walk walk, Member holder) {
        if (holder.equals(board.settings().self())) {
            return false;
        }
        PeerState peer = board.membership().peers().get(holder.vm());
        boolean replaced = peer != null && !peer.member().equals(holder) && knowsView(peer);
        return replaced || walk.ended.contains(holder) || isGone(holder.vm());
    }

    private boolean isGone(VmId vm) {
        if (vm.equals(board.settings().self().vm())) {
            return true;
        }
        Refusals r = refusals.get(vm);
        boolean refused = r != null && r.lastMs >= r.firstMs + REFUSED_AGAIN_MS;
        return refused || !board.tickets().inForce().vms().containsKey(vm);
    }

    private boolean knowsView(PeerState peer) {
        return peer.viewNumber() >= board.views().current().number();
    }

    private void endOfHistory(int s, Walk walk, Context context) {
        if (board.views().isHistoryComplete() || nobodyActsUnderOlderViews()) {
            if (!board.views().isHistoryComplete()) {
                walk.lostAtMs = context.nowMs();
            }
            adopt(s, walk, Found.NOTHING, context);
        }
    }

    /** Where older views are not known, every VM of the zone must know the view in force or have ended. */
    private boolean nobodyActsUnderOlderViews() {
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            PeerState peer = board.membership().peers().get(v.id());
            boolean knows = peer != null && knowsView(peer);
            if (v.zone().equals(board.settings().zone()) && !knows && !isGone(v.id())) {
                return false;
            }
        }
        return board.tickets().inForce().isPresent();
    }

    private void adopt(int s, Walk walk, Found found, Context context) {
        ShardState shard = board.shards().get(s);
        ZoneView view = board.views().current();
        ZoneView old = walk.view();
        boolean samePair = found.own() && old != null && old.holders(s).equals(view.holders(s));
        walk.unchangedSince = samePair && walk.lostAtMs == 0 ? shard.completeView() : 0;
        if (!found.own()) {
            listener.replacing(s, context);
            store.replace(s, found.state());
        }
        if (walk.lostAtMs > 0) {
            lose(s, walk, context);
        }
        shard.setCompleteView(view.number());
        shard.sealBelow(view.number());
        shard.setPhase(Phase.COPYING);
        walk.retryAfter(context.nowMs());
        copy(s, walk, context);
    }

    private void lose(int s, Walk walk, Context context) {
        board.counters().increment(Counter.SHARDS_LOST);
        if (guards.keyAge()) {
            long skew = board.settings().maxClockSkewMs();
            long retention = board.tickets().inForce().limits().keyRetentionMs();
            board.shards().get(s).markLost(walk.lostAtMs + skew, walk.lostAtMs + retention + skew);
        }
    }

    private void copy(int s, Walk walk, Context context) {
        ZoneView view = board.views().current();
        Optional<Member> backup = view.holders(s).backup();
        if (backup.isEmpty()) {
            activate(s, context);
            return;
        }
        ShardState shard = board.shards().get(s);
        Optional<ShardSnapshot> state = walk.unchangedSince > 0 ? Optional.empty() : Optional.of(shard.snapshot());
        send(backup.get().vm(), new CopyShard(view.number(), s, walk.unchangedSince, state), context);
    }

    private void takeCopied(Member from, ShardCopied c, Context context) {
        Walk walk = walks.get(c.shard());
        ZoneView view = board.views().current();
        boolean expected = walk != null
                && c.view() == view.number()
                && board.shards().get(c.shard()).phase() == Phase.COPYING
                && view.holders(c.shard()).backup().filter(from::equals).isPresent();
        if (!expected) {
            return;
        }
        if (c.held()) {
            activate(c.shard(), context);
        } else {
            walk.unchangedSince = 0;
            walk.retryAfter(context.nowMs());
            copy(c.shard(), walk, context);
        }
    }

    private void activate(int s, Context context) {
        ShardState shard = board.shards().get(s);
        long view = board.views().current().number();
        if (shard.sealedBelow() > view) {
            leave(s, context);
            return;
        }
        walks.remove(s);
        shard.setPhase(Phase.ACTIVE);
        shard.setActiveView(view);
        board.views().setActiveView(s, view);
        listener.activated(s, context);
    }

    // The side of the new backup.

    private void takeCopy(Member from, CopyShard c, Context context) {
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

    /** The walk of one shard over the older views. */
    private static final class Walk {

        private final List<ZoneView> older;
        private final Set<Member> ended = new HashSet<>();
        private int next;
        private long stepAtMs;
        private long retryAtMs;
        private long waitMs;
        private long lostAtMs;
        private long unchangedSince;

        Walk(List<ZoneView> older, long nowMs) {
            this.older = older;
            this.next = older.size() - 1;
            this.stepAtMs = nowMs;
            retryAfter(nowMs);
        }

        /** Returns the older view at hand, null behind the oldest one. */
        ZoneView view() {
            return next < 0 ? null : older.get(next);
        }

        void goOlder(long nowMs) {
            next--;
            stepAtMs = nowMs;
            retryAfter(nowMs);
        }

        void retryAfter(long nowMs) {
            waitMs = RETRY_MS;
            retryAtMs = nowMs + waitMs;
        }

        void backOff(long nowMs) {
            waitMs = Math.min(2 * waitMs, MAX_RETRY_MS);
            retryAtMs = nowMs + waitMs;
        }
    }

    /** A state from which a shard goes on, and whether it is this VM's own. */
    private record Found(ShardSnapshot state, boolean own) {
        static final Found NOTHING = new Found(new ShardSnapshot(0, 0, 0, 0, 0, List.of()), false);
    }

    /** When the host of a VM said that nobody listens, since the view in force began. */
    private record Refusals(long firstMs, long lastMs) {}
}
