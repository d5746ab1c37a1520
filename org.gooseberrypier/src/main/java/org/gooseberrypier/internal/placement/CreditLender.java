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

/** Counts the slots of the endpoints that this VM owns, and lends them to other VMs as credits. */
final class CreditLender {

    private static final long DEMAND_TTL_MS = 1_000;
    private static final long RESYNC_INTERVAL_MS = 5_000;
    private static final long BATCH_DELAY_MS = 10;
    private static final int MAX_SCANNED_ENDPOINTS = 256;

    private final Blackboard board;
    private final EndpointIndex index;
    private final LivePeers peers;
    private final Map<WorkId, Map<VmId, Demand>> demands = new HashMap<>();
    private final CreditOutbox outbox;
    private long lastRecallAtMs;
    private long lastResyncAtMs;

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
        lendFreeSlots(index.pool(demand.work()), from, context);
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
                applyTotals(from, e, t, context);
            }
        }
        outbox.scheduleFlush(BATCH_DELAY_MS, context);
    }

    /** Divides free slots of an endpoint at random between other VMs and this VM, in proportion to their demands. */
    void slotsReleased(EndpointState endpoint, Context context) {
        for (EndpointWork w : endpoint.works()) {
            int remoteDemand = totalDemand(w.work(), context.nowMs());
            int localWaiting = index.pool(w.work()).state().waiting();
            for (int free = lendableSlots(endpoint); free > 0 && remoteDemand > 0; free--) {
                if (context.random().nextDouble() * (remoteDemand + localWaiting) < remoteDemand) {
                    lendOneSlot(endpoint, w.work(), context);
                    remoteDemand--;
                }
            }
        }
        outbox.scheduleFlush(BATCH_DELAY_MS, context);
    }

    private void lendOneSlot(EndpointState endpoint, WorkId work, Context context) {
        VmId to = nextBorrower(work);
        grant(endpoint, to, 1, context);
        deductDemand(work, to, 1);
    }

    /** Reclaims the credits of VMs that are no longer live, and discards their demands. */
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

    /**
     * Recalls credits while tasks wait: idle credits from all borrowers, and credits in use from VMs that hold more
     * than their fair share.
     */
    void tick(Context context) {
        resync(context);
        if (context.nowMs() - lastRecallAtMs < CreditIntervals.recallIntervalMs(board.settings())) {
            return;
        }
        lastRecallAtMs = context.nowMs();
        demands.values().removeIf(Map::isEmpty);
        for (WorkPool pool : index.pools().values()) {
            boolean waits =
                    pool.state().waiting() > 0 || totalDemand(pool.state().work(), context.nowMs()) > 0;
            if (waits) {
                recall(pool, context);
            }
        }
    }

    /** Sends the borrowers their totals again, so that a slot is not unusable for long after a message was lost. */
    private void resync(Context context) {
        if (context.nowMs() - lastResyncAtMs < RESYNC_INTERVAL_MS) {
            return;
        }
        lastResyncAtMs = context.nowMs();
        for (EndpointState e : board.endpoints().states().values()) {
            e.credits().granted().forEach((vm, account) -> {
                if (account.balance() > 0) {
                    outbox.add(vm, e);
                }
            });
        }
        outbox.flush(context);
    }

    private void applyTotals(VmId from, EndpointState e, CreditTotals t, Context context) {
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

    private void lendFreeSlots(WorkPool pool, VmId to, Context context) {
        int wanted = demands.get(pool.state().work()).get(to).wanted;
        List<EndpointState> free = new ArrayList<>();
        for (int i = 0; i < Math.min(MAX_SCANNED_ENDPOINTS, pool.free().size()); i++) {
            EndpointState e = pool.free().get(i).endpoint();
            if (lendableSlots(e) > 0) {
                free.add(e);
            }
        }
        int remaining = wanted;
        for (EndpointState e : free) {
            int part = Math.min(remaining, lendableSlots(e));
            if (part > 0) {
                grant(e, to, part, context);
                remaining -= part;
            }
        }
        deductDemand(pool.state().work(), to, wanted - remaining);
        outbox.flush(context);
    }

    private void grant(EndpointState e, VmId to, int credits, Context context) {
        EndpointCredits c = e.credits();
        CreditAccount account = c.granted().computeIfAbsent(to, v -> new CreditAccount(context.nextId()));
        account.raiseGranted(account.granted() + credits);
        c.addGrantedSlots(credits);
        if (c.grantedSlots() < 0 || credits > 0 && c.grantedSlots() > e.spec().slots()) {
            throw new InvariantViolationException("credits of " + e.spec().id() + " out of range: granted "
                    + c.grantedSlots() + " of " + e.spec().slots());
        }
        outbox.add(to, e);
        index.refresh(e, context);
    }

    /** Returns how many slots of an endpoint this VM can lend now. */
    private int lendableSlots(EndpointState e) {
        boolean lends = owns(e) && e.health() == EndpointHealth.HEALTHY;
        return lends ? index.usableSlots(e) - e.usedSlots() : 0;
    }

    private boolean owns(EndpointState e) {
        return e.credits()
                .owner()
                .filter(o -> o.equals(board.settings().self().vm()))
                .isPresent();
    }

    private int totalDemand(WorkId work, long nowMs) {
        Map<VmId, Demand> byVm = demands.get(work);
        if (byVm == null || byVm.isEmpty()) {
            return 0;
        }
        byVm.values().removeIf(d -> d.wanted <= 0 || nowMs - d.receivedAtMs > DEMAND_TTL_MS);
        int sum = 0;
        for (Demand d : byVm.values()) {
            sum += d.wanted;
        }
        return sum;
    }

    private VmId nextBorrower(WorkId work) {
        return demands.get(work).keySet().iterator().next();
    }

    /** Lowers the demand of a VM by the granted credits and moves it to the end of the order. */
    private void deductDemand(WorkId work, VmId vm, int credits) {
        Map<VmId, Demand> byVm = demands.get(work);
        Demand d = byVm.remove(vm);
        if (d.wanted > credits) {
            byVm.put(vm, new Demand(d.wanted - credits, d.receivedAtMs));
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
        int fairShare = (int) (slots / claimants);
        lent.forEach((vm, credits) -> {
            if (credits > 0) {
                int excess = credits > fairShare + fairShare / 2 + 1 ? (credits - fairShare + 1) / 2 : 0;
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

    private record Demand(int wanted, long receivedAtMs) {}
}
