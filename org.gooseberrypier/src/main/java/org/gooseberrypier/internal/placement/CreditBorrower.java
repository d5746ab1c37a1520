package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.EndpointCredits;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.peer.PlacementMessage;
import org.gooseberrypier.peer.PlacementMessage.CreditTotals;

/** The borrower's side of credits: asks for them when tasks wait, and returns those that stay idle. */
final class CreditBorrower {

    private static final long STEP_MS = 5;
    private static final long REPEAT_MS = 400;
    private static final long RESYNC_MS = 5_000;
    private static final long BATCH_MS = 10;
    private static final long REVIEW_MS = 10;
    private static final int MAX_WANTED = 1_000;

    private final Blackboard board;
    private final EndpointIndex index;
    private final Set<EndpointState> borrowed = new LinkedHashSet<>();
    private final Map<WorkId, Seeking> seeking = new HashMap<>();
    private final Map<VmId, Map<WorkId, Integer>> recalled = new HashMap<>();
    private final CreditOutbox outbox;
    private final Set<EndpointState> fresh = new LinkedHashSet<>();
    private final Map<VmId, Long> scarceUntilMs = new HashMap<>();
    private final Map<VmId, List<WorkId>> satisfied = new HashMap<>();
    private boolean reviewing;
    private long syncedAtMs;
    private long sweptAtMs;

    CreditBorrower(Blackboard board, EndpointIndex index) {
        this.board = board;
        this.index = index;
        outbox = new CreditOutbox(board, (e, owner) -> totals(e), this::message);
    }

    /** Asks for what the waiting tasks of a work need, one owner after the other, those of the own zone first. */
    void requestCredits(WorkPool pool, Context context) {
        Seeking s = seeking.computeIfAbsent(pool.state().work(), w -> new Seeking());
        if (s.lenders == null) {
            s.lenders = lenders(pool.state().work());
        }
        if (!s.stepping) {
            s.next = 0;
            ask(pool, s, context);
        }
    }

    void handleGrant(Member from, PlacementMessage.CreditGrant grant, Context context) {
        for (CreditTotals t : grant.totals()) {
            EndpointState e = board.endpoints().states().get(t.endpoint());
            boolean owner =
                    e != null && e.credits().owner().filter(from.vm()::equals).isPresent();
            if (owner) {
                accept(from, e, t, context);
            }
        }
        if (!reviewing) {
            reviewing = true;
            context.schedule(context.nowMs() + REVIEW_MS, this::review);
        }
    }

    void handleRecall(VmId from, PlacementMessage.CreditRecall recall, Context context) {
        scarceUntilMs.put(from, context.nowMs() + CreditIntervals.scarcityDurationMs(board.settings()));
        if (recall.credits() == 0) {
            return;
        }
        recalled.computeIfAbsent(from, v -> new HashMap<>()).put(recall.work(), recall.credits());
    }

    void taskStarted(EndpointState e) {
        EndpointCredits c = e.credits();
        c.setMinIdle(Math.min(c.minIdle(), idle(e)));
    }

    /** Returns the credit of a task that ended if its owner asked for it. */
    void slotsReleased(EndpointState e, Context context) {
        VmId owner = e.credits().owner().orElse(null);
        Map<WorkId, Integer> debts = owner == null ? null : recalled.get(owner);
        if (debts == null || idle(e) <= 0) {
            return;
        }
        for (EndpointWork w : e.works()) {
            Integer debt = debts.get(w.work());
            if (debt != null) {
                debts.computeIfPresent(w.work(), (k, n) -> n > 1 ? n - 1 : null);
                giveBack(e, 1);
                outbox.add(owner, e);
                outbox.scheduleFlush(BATCH_MS, context);
                return;
            }
        }
    }

    void ownersChanged() {
        borrowed.removeIf(e -> e.credits().borrowed().balance() == 0);
        seeking.values().forEach(s -> s.lenders = null);
        recalled.clear();
        scarceUntilMs.clear();
    }

    /** Returns the credits that no task has used since the last call. */
    void tick(Context context) {
        boolean sync = context.nowMs() - syncedAtMs >= RESYNC_MS;
        boolean sweep = context.nowMs() - sweptAtMs >= CreditIntervals.sweepIntervalMs(board.settings());
        syncedAtMs = sync ? context.nowMs() : syncedAtMs;
        sweptAtMs = sweep ? context.nowMs() : sweptAtMs;
        for (EndpointState e : borrowed) {
            VmId owner = e.credits().owner().orElse(null);
            if (owner != null && (sweep || isScarce(owner, context))) {
                returnUnused(e, owner, sync, context);
            }
        }
        outbox.flush(context);
        borrowed.removeIf(e -> e.credits().borrowed().balance() == 0);
    }

    private boolean isScarce(VmId owner, Context context) {
        return context.nowMs() < scarceUntilMs.getOrDefault(owner, 0L);
    }

    private void returnUnused(EndpointState e, VmId owner, boolean sync, Context context) {
        int unused = Math.min(e.credits().minIdle(), idle(e));
        if (unused > 0) {
            giveBack(e, unused);
            index.refresh(e, context);
        }
        e.credits().setMinIdle(idle(e));
        if (sync || unused > 0) {
            outbox.add(owner, e);
        }
    }

    private PlacementMessage message(VmId owner, List<CreditTotals> totals) {
        List<WorkId> works = satisfied.remove(owner);
        return new PlacementMessage.CreditReturn(totals, works == null ? List.of() : works);
    }

    private void ask(WorkPool pool, Seeking s, Context context) {
        int unmet = Math.min(MAX_WANTED, pool.state().waiting());
        boolean asked = false;
        while (unmet > 0 && s.next < s.lenders.size()) {
            Lender l = s.lenders.get(s.next++);
            int wanted = Math.min(unmet, l.slots);
            Asked last = s.asked.get(l.vm);
            boolean due = last == null || context.nowMs() - last.atMs >= REPEAT_MS || wanted > 2 * last.wanted;
            if (due) {
                s.asked.put(l.vm, new Asked(wanted, context.nowMs()));
                emit(l.vm, new PlacementMessage.CreditDemand(pool.state().work(), wanted), context);
                unmet -= wanted;
                asked = true;
            }
        }
        s.stepping = asked;
        if (asked) {
            context.schedule(context.nowMs() + STEP_MS, c -> step(pool, s, c));
        }
    }

    private void step(WorkPool pool, Seeking s, Context context) {
        s.stepping = false;
        boolean stillWaits = pool.state().waiting() > 0 && pool.free().size() == 0;
        if (stillWaits && s.lenders != null) {
            ask(pool, s, context);
        }
    }

    /** Gives back what came more than was needed, and asks for no more. */
    private void review(Context context) {
        reviewing = false;
        seeking.forEach((work, s) -> {
            if (index.pool(work).state().waiting() == 0) {
                s.asked.keySet().forEach(vm -> satisfied
                        .computeIfAbsent(vm, v -> new ArrayList<>())
                        .add(work));
                s.asked.clear();
            }
        });
        for (EndpointState e : fresh) {
            VmId owner = e.credits().owner().orElse(null);
            int unused = idle(e);
            if (owner != null && unused > 0) {
                giveBack(e, unused);
                index.refresh(e, context);
                outbox.add(owner, e);
            }
        }
        fresh.clear();
        satisfied.keySet().forEach(outbox::addRecipient);
        outbox.flush(context);
    }

    private void accept(Member from, EndpointState e, CreditTotals t, Context context) {
        EndpointCredits c = e.credits();
        boolean sameLender = c.lender().filter(from::equals).isPresent();
        if (!sameLender || t.session() > c.borrowed().session()) {
            c.setLender(from, t.session());
        }
        if (t.session() != c.borrowed().session()) {
            return;
        }
        boolean returnLost = t.granted() == c.borrowed().granted()
                && t.returned() < c.borrowed().returned();
        if (returnLost) {
            outbox.add(from.vm(), e);
            outbox.scheduleFlush(BATCH_MS, context);
        }
        int credits = c.borrowed().raiseGranted(t.granted()) - c.borrowed().raiseReturned(t.returned());
        borrowed.add(e);
        if (credits > 0) {
            fresh.add(e);
        }
        lowerAsked(e, from.vm(), credits);
        index.refresh(e, context);
    }

    /** Lets the next shortage ask again at once where the last question was answered in full. */
    private void lowerAsked(EndpointState e, VmId owner, int credits) {
        for (EndpointWork w : e.works()) {
            Seeking s = seeking.get(w.work());
            if (s != null && credits > 0) {
                s.prefer(owner);
                s.asked.computeIfPresent(
                        owner, (v, a) -> a.wanted > credits ? new Asked(a.wanted - credits, a.atMs) : null);
            }
        }
    }

    /** Lists the owners of the endpoints that serve a work, those of the own zone first. */
    private List<Lender> lenders(WorkId work) {
        Map<VmId, Integer> own = new LinkedHashMap<>();
        Map<VmId, Integer> others = new LinkedHashMap<>();
        VmId self = board.settings().self().vm();
        for (EndpointState e : board.endpoints().states().values()) {
            VmId owner = e.credits().owner().orElse(self);
            if (!owner.equals(self) && e.isServing() && e.spec().works().contains(work)) {
                boolean near = e.spec().zone().equals(board.settings().zone());
                (near ? own : others).merge(owner, e.spec().slots(), Integer::sum);
            }
        }
        List<Lender> list = new ArrayList<>();
        own.forEach((vm, slots) -> list.add(new Lender(vm, slots, true)));
        others.forEach((vm, slots) -> list.add(new Lender(vm, slots, false)));
        return list;
    }

    private static int idle(EndpointState e) {
        return e.credits().borrowed().balance() - e.usedSlots();
    }

    private static void giveBack(EndpointState e, int credits) {
        e.credits().borrowed().raiseReturned(e.credits().borrowed().returned() + credits);
    }

    private static CreditTotals totals(EndpointState e) {
        var held = e.credits().borrowed();
        return new CreditTotals(e.spec().id(), held.session(), held.granted(), held.returned());
    }

    private void emit(VmId to, PlacementMessage message, Context context) {
        board.counters().increment(Counter.PLACEMENT_MESSAGES);
        context.emit(new Effect.SendPeer(to, message));
    }

    private static final class Seeking {
        private final Map<VmId, Asked> asked = new HashMap<>();
        private List<Lender> lenders;
        private int next;
        private boolean stepping;

        /** Asks the owner of another zone that granted last first the next time. */
        void prefer(VmId vm) {
            for (int i = 0; lenders != null && i < lenders.size(); i++) {
                Lender l = lenders.get(i);
                if (l.vm.equals(vm) && !l.near) {
                    lenders.remove(i);
                    lenders.add((int) lenders.stream().filter(o -> o.near).count(), l);
                    return;
                }
            }
        }
    }

    private record Asked(int wanted, long atMs) {}

    private record Lender(VmId vm, int slots, boolean near) {}
}
