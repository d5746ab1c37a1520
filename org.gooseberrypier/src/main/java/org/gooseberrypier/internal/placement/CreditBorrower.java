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

/**
 * Borrows credits for slots of endpoints that other VMs own: requests credits while tasks wait, and returns credits
 * that stay idle.
 */
final class CreditBorrower {

    private static final long NEXT_OWNER_DELAY_MS = 5;
    private static final long REPEAT_INTERVAL_MS = 400;
    private static final long RESYNC_INTERVAL_MS = 5_000;
    private static final long BATCH_DELAY_MS = 10;
    private static final long REVIEW_DELAY_MS = 10;
    private static final int MAX_REQUESTED_CREDITS = 1_000;

    private final Blackboard board;
    private final EndpointIndex index;
    private final Set<EndpointState> borrowed = new LinkedHashSet<>();
    private final Map<WorkId, DemandState> demands = new HashMap<>();
    private final Map<VmId, Map<WorkId, Integer>> recalledCredits = new HashMap<>();
    private final CreditOutbox outbox;
    private final Set<EndpointState> newlyGranted = new LinkedHashSet<>();
    private final Map<VmId, Long> scarceUntilMs = new HashMap<>();
    private final Map<VmId, List<WorkId>> satisfiedWorks = new HashMap<>();
    private boolean reviewScheduled;
    private long lastResyncAtMs;
    private long lastSweepAtMs;

    CreditBorrower(Blackboard board, EndpointIndex index) {
        this.board = board;
        this.index = index;
        outbox = new CreditOutbox(board, (e, owner) -> totals(e), this::returnMessage);
    }

    /** Requests credits for the waiting tasks of a work from one owner after another, those of the own zone first. */
    void requestCredits(WorkPool pool, Context context) {
        DemandState s = demands.computeIfAbsent(pool.state().work(), w -> new DemandState());
        if (s.lenders == null) {
            s.lenders = lenders(pool.state().work());
        }
        if (!s.stepScheduled) {
            s.nextLender = 0;
            requestFromLenders(pool, s, context);
        }
    }

    void handleGrant(Member from, PlacementMessage.CreditGrant grant, Context context) {
        for (CreditTotals t : grant.totals()) {
            EndpointState e = board.endpoints().states().get(t.endpoint());
            boolean owner =
                    e != null && e.credits().owner().filter(from.vm()::equals).isPresent();
            if (owner) {
                applyTotals(from, e, t, context);
            }
        }
        if (!reviewScheduled) {
            reviewScheduled = true;
            context.schedule(context.nowMs() + REVIEW_DELAY_MS, this::review);
        }
    }

    void handleRecall(VmId from, PlacementMessage.CreditRecall recall, Context context) {
        scarceUntilMs.put(from, context.nowMs() + CreditIntervals.scarcityDurationMs(board.settings()));
        if (recall.credits() == 0) {
            return;
        }
        recalledCredits.computeIfAbsent(from, v -> new HashMap<>()).put(recall.work(), recall.credits());
    }

    void taskStarted(EndpointState e) {
        EndpointCredits c = e.credits();
        c.setMinIdle(Math.min(c.minIdle(), idleCredits(e)));
    }

    /** Returns the credit of a task that ended if the owner of the endpoint has recalled it. */
    void slotsReleased(EndpointState e, Context context) {
        VmId owner = e.credits().owner().orElse(null);
        Map<WorkId, Integer> recalls = owner == null ? null : recalledCredits.get(owner);
        if (recalls == null || idleCredits(e) <= 0) {
            return;
        }
        for (EndpointWork w : e.works()) {
            Integer outstandingRecall = recalls.get(w.work());
            if (outstandingRecall != null) {
                recalls.computeIfPresent(w.work(), (k, n) -> n > 1 ? n - 1 : null);
                returnCredits(e, 1);
                outbox.add(owner, e);
                outbox.scheduleFlush(BATCH_DELAY_MS, context);
                return;
            }
        }
    }

    void ownersChanged() {
        borrowed.removeIf(e -> e.credits().borrowed().balance() == 0);
        demands.values().forEach(s -> s.lenders = null);
        recalledCredits.clear();
        scarceUntilMs.clear();
    }

    /** Returns credits that no task has used since the last check of their endpoint. */
    void tick(Context context) {
        boolean resync = context.nowMs() - lastResyncAtMs >= RESYNC_INTERVAL_MS;
        boolean sweep = context.nowMs() - lastSweepAtMs >= CreditIntervals.sweepIntervalMs(board.settings());
        lastResyncAtMs = resync ? context.nowMs() : lastResyncAtMs;
        lastSweepAtMs = sweep ? context.nowMs() : lastSweepAtMs;
        for (EndpointState e : borrowed) {
            VmId owner = e.credits().owner().orElse(null);
            if (owner != null && (sweep || isScarce(owner, context))) {
                returnUnusedCredits(e, owner, resync, context);
            }
        }
        outbox.flush(context);
        borrowed.removeIf(e -> e.credits().borrowed().balance() == 0);
    }

    private boolean isScarce(VmId owner, Context context) {
        return context.nowMs() < scarceUntilMs.getOrDefault(owner, 0L);
    }

    private void returnUnusedCredits(EndpointState e, VmId owner, boolean resync, Context context) {
        int unused = Math.min(e.credits().minIdle(), idleCredits(e));
        if (unused > 0) {
            returnCredits(e, unused);
            index.refresh(e, context);
        }
        e.credits().setMinIdle(idleCredits(e));
        if (resync || unused > 0) {
            outbox.add(owner, e);
        }
    }

    private PlacementMessage returnMessage(VmId owner, List<CreditTotals> totals) {
        List<WorkId> works = satisfiedWorks.remove(owner);
        return new PlacementMessage.CreditReturn(totals, works == null ? List.of() : works);
    }

    private void requestFromLenders(WorkPool pool, DemandState s, Context context) {
        int remaining = Math.min(MAX_REQUESTED_CREDITS, pool.state().waiting());
        boolean requested = false;
        while (remaining > 0 && s.nextLender < s.lenders.size()) {
            Lender l = s.lenders.get(s.nextLender++);
            int wanted = Math.min(remaining, l.slots);
            Request last = s.requests.get(l.vm);
            boolean due =
                    last == null || context.nowMs() - last.sentAtMs >= REPEAT_INTERVAL_MS || wanted > 2 * last.wanted;
            if (due) {
                s.requests.put(l.vm, new Request(wanted, context.nowMs()));
                emit(l.vm, new PlacementMessage.CreditDemand(pool.state().work(), wanted), context);
                remaining -= wanted;
                requested = true;
            }
        }
        s.stepScheduled = requested;
        if (requested) {
            context.schedule(context.nowMs() + NEXT_OWNER_DELAY_MS, c -> requestFromNextLenders(pool, s, c));
        }
    }

    private void requestFromNextLenders(WorkPool pool, DemandState s, Context context) {
        s.stepScheduled = false;
        boolean stillWaits = pool.state().waiting() > 0 && pool.free().size() == 0;
        if (stillWaits && s.lenders != null) {
            requestFromLenders(pool, s, context);
        }
    }

    /** Returns credits granted beyond the need, and reports the works that need no more credits. */
    private void review(Context context) {
        reviewScheduled = false;
        demands.forEach((work, s) -> {
            if (index.pool(work).state().waiting() == 0) {
                s.requests.keySet().forEach(vm -> satisfiedWorks
                        .computeIfAbsent(vm, v -> new ArrayList<>())
                        .add(work));
                s.requests.clear();
            }
        });
        for (EndpointState e : newlyGranted) {
            VmId owner = e.credits().owner().orElse(null);
            int unused = idleCredits(e);
            if (owner != null && unused > 0) {
                returnCredits(e, unused);
                index.refresh(e, context);
                outbox.add(owner, e);
            }
        }
        newlyGranted.clear();
        satisfiedWorks.keySet().forEach(outbox::addRecipient);
        outbox.flush(context);
    }

    private void applyTotals(Member from, EndpointState e, CreditTotals t, Context context) {
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
            outbox.scheduleFlush(BATCH_DELAY_MS, context);
        }
        int credits = c.borrowed().raiseGranted(t.granted()) - c.borrowed().raiseReturned(t.returned());
        borrowed.add(e);
        if (credits > 0) {
            newlyGranted.add(e);
        }
        lowerRequests(e, from.vm(), credits);
        index.refresh(e, context);
    }

    /**
     * Lowers the requests to an owner by the credits that it granted. A request that is granted in full is removed, so
     * that the next shortage need not wait for the repeat interval before it requests credits from this owner again.
     */
    private void lowerRequests(EndpointState e, VmId owner, int credits) {
        for (EndpointWork w : e.works()) {
            DemandState s = demands.get(w.work());
            if (s != null && credits > 0) {
                s.preferAmongOtherZones(owner);
                s.requests.computeIfPresent(
                        owner, (v, a) -> a.wanted > credits ? new Request(a.wanted - credits, a.sentAtMs) : null);
            }
        }
    }

    /** Lists the other VMs that own endpoints serving a work, those of the zone of this VM first. */
    private List<Lender> lenders(WorkId work) {
        Map<VmId, Integer> ownZone = new LinkedHashMap<>();
        Map<VmId, Integer> otherZones = new LinkedHashMap<>();
        VmId self = board.settings().self().vm();
        for (EndpointState e : board.endpoints().states().values()) {
            VmId owner = e.credits().owner().orElse(self);
            if (!owner.equals(self) && e.isServing() && e.spec().works().contains(work)) {
                boolean sameZone = e.spec().zone().equals(board.settings().zone());
                (sameZone ? ownZone : otherZones).merge(owner, e.spec().slots(), Integer::sum);
            }
        }
        List<Lender> list = new ArrayList<>();
        ownZone.forEach((vm, slots) -> list.add(new Lender(vm, slots, true)));
        otherZones.forEach((vm, slots) -> list.add(new Lender(vm, slots, false)));
        return list;
    }

    private static int idleCredits(EndpointState e) {
        return e.credits().borrowed().balance() - e.usedSlots();
    }

    private static void returnCredits(EndpointState e, int credits) {
        e.credits().borrowed().raiseReturned(e.credits().borrowed().returned() + credits);
    }

    private static CreditTotals totals(EndpointState e) {
        var account = e.credits().borrowed();
        return new CreditTotals(e.spec().id(), account.session(), account.granted(), account.returned());
    }

    private void emit(VmId to, PlacementMessage message, Context context) {
        board.counters().increment(Counter.PLACEMENT_MESSAGES);
        context.emit(new Effect.SendPeer(to, message));
    }

    private static final class DemandState {
        private final Map<VmId, Request> requests = new HashMap<>();
        private List<Lender> lenders;
        private int nextLender;
        private boolean stepScheduled;

        /** Moves an owner of another zone to the front of the owners of other zones, to be asked first next time. */
        void preferAmongOtherZones(VmId vm) {
            for (int i = 0; lenders != null && i < lenders.size(); i++) {
                Lender l = lenders.get(i);
                if (l.vm.equals(vm) && !l.sameZone) {
                    lenders.remove(i);
                    lenders.add((int) lenders.stream().filter(o -> o.sameZone).count(), l);
                    return;
                }
            }
        }
    }

    private record Request(int wanted, long sentAtMs) {}

    private record Lender(VmId vm, int slots, boolean sameZone) {}
}
