package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.CreditAccount;
import org.gooseberrypier.internal.board.EndpointCredits;
import org.gooseberrypier.internal.board.EndpointHealth;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.peer.PlacementMessage;
import org.gooseberrypier.peer.PlacementMessage.CreditTotals;

/** The owner's side of credits: counts the slots of the endpoints that this VM owns and lends them. */
final class CreditLender {

    private static final long DEMAND_TTL_MS = 1_000;
    private static final long RESYNC_MS = 5_000;
    private static final long BATCH_MS = 10;
    private static final int MAX_SCANNED = 256;

    private final Blackboard board;
    private final EndpointIndex index;
    private final LivePeers peers;
    private final Map<WorkId, Map<VmId, Demand>> demands = new HashMap<>();
    private final CreditOutbox outbox;
    private long recalledAtMs;
    private long syncedAtMs;

    CreditLender(Blackboard board, EndpointIndex index, LivePeers peers) {
        this.board = board;
        this.index = index;
        this.peers = peers;
        outbox = new CreditOutbox(board, CreditLender::totals, (to, t) -> new PlacementMessage.CreditGrant(t));
    }

    void handleDemand(VmId from, PlacementMessage.CreditDemand demand, Context context) {
        if (!board.queue().works().containsKey(demand.work())) {
            return;
        }
        demands.computeIfAbsent(demand.work(), w -> new LinkedHashMap<>())
                .put(from, new Demand(demand.wanted(), context.nowMs()));
        lendFree(index.pool(demand.work()), from, context);
    }

    void handleReturn(VmId from, PlacementMessage.CreditReturn message, Context context) {
        for (WorkId w : message.satisfied()) {
            demands.computeIfPresent(w, (k, byVm) -> {
                byVm.remove(from);
                return byVm;
            });
        }
        for (CreditTotals t : message.totals()) {
            EndpointState e = board.endpoints().states().get(t.endpoint());
            if (e != null && owns(e)) {
                settle(from, e, t, context);
            }
        }
        outbox.scheduleFlush(BATCH_MS, context);
    }

    /** Offers the free slots of an endpoint to the VMs that wait for them, in proportion to what waits. */
    void slotsReleased(EndpointState endpoint, Context context) {
        for (EndpointWork w : endpoint.works()) {
            int theirs = wanted(w.work(), context.nowMs());
            int own = index.pool(w.work()).state().waiting();
            for (int free = spare(endpoint); free > 0 && theirs > 0; free--) {
                if (context.random().nextDouble() * (theirs + own) < theirs) {
                    lendOne(endpoint, w.work(), context);
                    theirs--;
                }
            }
        }
        outbox.scheduleFlush(BATCH_MS, context);
    }

    private void lendOne(EndpointState endpoint, WorkId work, Context context) {
        VmId to = next(work);
        grant(endpoint, to, 1, context);
        take(work, to, 1);
    }

    /** Takes back the credits of VMs that are not live any more. */
    void reclaimFromDeadBorrowers() {
        for (EndpointState e : board.endpoints().states().values()) {
            EndpointCredits c = e.credits();
            c.granted().entrySet().removeIf(g -> {
                boolean dead = !peers.isLive(g.getKey());
                if (dead) {
                    c.addGrantedSlots(-g.getValue().balance());
                }
                return dead;
            });
        }
        demands.values().forEach(m -> m.keySet().removeIf(v -> !peers.isLive(v)));
    }

    /** Recalls idle credits while others wait, and credits in use from VMs that hold more than their part. */
    void tick(Context context) {
        resync(context);
        if (context.nowMs() - recalledAtMs < CreditIntervals.recallIntervalMs(board.settings())) {
            return;
        }
        recalledAtMs = context.nowMs();
        demands.values().removeIf(Map::isEmpty);
        for (WorkPool pool : index.pools().values()) {
            boolean waits = pool.state().waiting() > 0 || wanted(pool.state().work(), context.nowMs()) > 0;
            if (waits) {
                recall(pool, context);
            }
        }
    }

    /** Tells the borrowers their totals again, so that a lost message takes no slot out of use for long. */
    private void resync(Context context) {
        if (context.nowMs() - syncedAtMs < RESYNC_MS) {
            return;
        }
        syncedAtMs = context.nowMs();
        for (EndpointState e : board.endpoints().states().values()) {
            e.credits().granted().forEach((vm, account) -> {
                if (account.balance() > 0) {
                    outbox.add(vm, e);
                }
            });
        }
        outbox.flush(context);
    }

    private void settle(VmId from, EndpointState e, CreditTotals t, Context context) {
        CreditAccount account = e.credits().granted().get(from);
        if (account == null || account.session() != t.session()) {
            grant(e, from, 0, context);
            return;
        }
        e.credits().addGrantedSlots(-account.raiseReturned(t.returned()));
        if (t.granted() < account.granted()) {
            outbox.add(from, e);
        }
        index.refresh(e, context);
        slotsReleased(e, context);
    }

    private void lendFree(WorkPool pool, VmId to, Context context) {
        int wanted = demands.get(pool.state().work()).get(to).wanted;
        List<EndpointState> free = new ArrayList<>();
        for (int i = 0; i < Math.min(MAX_SCANNED, pool.free().size()); i++) {
            EndpointState e = pool.free().get(i).endpoint();
            if (spare(e) > 0) {
                free.add(e);
            }
        }
        int left = wanted;
        for (EndpointState e : free) {
            int part = Math.min(left, spare(e));
            if (part > 0) {
                grant(e, to, part, context);
                left -= part;
            }
        }
        take(pool.state().work(), to, wanted - left);
        outbox.flush(context);
    }

    private void grant(EndpointState e, VmId to, int credits, Context context) {
        EndpointCredits c = e.credits();
        CreditAccount account = c.granted().computeIfAbsent(to, v -> new CreditAccount(context.nextId()));
        account.raiseGranted(account.granted() + credits);
        c.addGrantedSlots(credits);
        if (c.grantedSlots() < 0 || credits > 0 && c.grantedSlots() > e.spec().slots()) {
            throw new InvariantViolationException("credits of " + e.spec().id() + ": granted " + c.grantedSlots()
                    + " of " + e.spec().slots());
        }
        outbox.add(to, e);
        index.refresh(e, context);
    }

    /** Returns how many slots may be lent now. */
    private int spare(EndpointState e) {
        boolean lends = owns(e) && e.health() == EndpointHealth.HEALTHY;
        return lends ? index.usableSlots(e) - e.usedSlots() : 0;
    }

    private boolean owns(EndpointState e) {
        return e.credits()
                .owner()
                .filter(o -> o.equals(board.settings().self().vm()))
                .isPresent();
    }

    private int wanted(WorkId work, long nowMs) {
        Map<VmId, Demand> byVm = demands.get(work);
        if (byVm == null || byVm.isEmpty()) {
            return 0;
        }
        byVm.values().removeIf(d -> d.wanted <= 0 || nowMs - d.atMs > DEMAND_TTL_MS);
        int sum = 0;
        for (Demand d : byVm.values()) {
            sum += d.wanted;
        }
        return sum;
    }

    private VmId next(WorkId work) {
        return demands.get(work).keySet().iterator().next();
    }

    /** Lowers a demand by what was granted and moves it behind the others. */
    private void take(WorkId work, VmId vm, int credits) {
        Map<VmId, Demand> byVm = demands.get(work);
        Demand d = byVm.remove(vm);
        if (d.wanted > credits) {
            byVm.put(vm, new Demand(d.wanted - credits, d.atMs));
        }
    }

    private void recall(WorkPool pool, Context context) {
        WorkId work = pool.state().work();
        Map<VmId, Integer> lent = new LinkedHashMap<>();
        int slots = 0;
        for (EndpointState e : board.endpoints().states().values()) {
            if (owns(e) && e.isServing() && e.spec().works().contains(work)) {
                slots += e.spec().slots();
                e.credits().granted().forEach((v, a) -> lent.merge(v, a.balance(), Integer::sum));
            }
        }
        Map<VmId, Demand> waiting = demands.getOrDefault(work, Map.of());
        long claimants =
                1 + lent.keySet().stream().filter(v -> !waiting.containsKey(v)).count() + waiting.size();
        int fair = (int) (slots / claimants);
        lent.forEach((vm, credits) -> {
            if (credits > 0) {
                int excess = credits > fair + fair / 2 + 1 ? (credits - fair + 1) / 2 : 0;
                emit(vm, new PlacementMessage.CreditRecall(work, excess), context);
            }
        });
    }

    private static CreditTotals totals(EndpointState e, VmId borrower) {
        CreditAccount a = e.credits().granted().get(borrower);
        return a == null ? null : new CreditTotals(e.spec().id(), a.session(), a.granted(), a.returned());
    }

    private void emit(VmId to, PlacementMessage message, Context context) {
        board.counters().increment(Counter.PLACEMENT_MESSAGES);
        context.emit(new Effect.SendPeer(to, message));
    }

    private record Demand(int wanted, long atMs) {}
}
