package org.gooseberrypier.internal.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.EndpointHealth;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.board.WorkState;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.EndpointSpec;

/** Keeps the states of the endpoints and, for each work, an index of the endpoints with free slots. */
final class EndpointIndex implements SlotLimit {

    private static final double PROBATION_RANK_PENALTY = 1e6;

    private final Blackboard board;
    private final PlacementPolicy policy;
    private final Map<WorkId, WorkPool> pools = new LinkedHashMap<>();
    private final Set<WorkPool> changed = new LinkedHashSet<>();
    private final Set<EndpointId> drained = new HashSet<>();
    private long nowMs;

    EndpointIndex(Blackboard board, PlacementPolicy policy) {
        this.board = board;
        this.policy = policy;
        policy.attach(this);
    }

    Map<WorkId, WorkPool> pools() {
        return pools;
    }

    WorkPool pool(WorkId work) {
        return pools.computeIfAbsent(
                work, w -> new WorkPool(board.queue().works().computeIfAbsent(w, WorkState::new)));
    }

    /** Removes and returns the next work whose endpoints or tasks changed; returns null if there is none. */
    WorkPool pollChanged() {
        var i = changed.iterator();
        if (!i.hasNext()) {
            return null;
        }
        WorkPool next = i.next();
        i.remove();
        return next;
    }

    void markChanged(WorkPool pool) {
        changed.add(pool);
    }

    void markAllChanged() {
        changed.addAll(pools.values());
    }

    void applyConfiguration(Configuration config, Context context) {
        nowMs = context.nowMs();
        var states = board.endpoints().states();
        for (EndpointState s : states.values()) {
            unindex(s);
            if (!config.endpoints().containsKey(s.spec().id())) {
                s.setRemoved();
            }
        }
        for (EndpointSpec s : config.endpoints().values()) {
            EndpointState state = states.computeIfAbsent(s.id(), id -> create(s));
            if (state.spec().slots() != s.slots()) {
                state.credits().setOwner(null, 0);
            }
            state.setSpec(s);
        }
        updateServingTotals();
        for (EndpointState s : states.values()) {
            refresh(s, context);
        }
        states.values().removeIf(s -> isDrained(s, context) && s.isRemoved());
        markAllChanged();
    }

    /** Updates the entries of an endpoint in the indexes of its works after its state changed. */
    void refresh(EndpointState endpoint, Context context) {
        nowMs = context.nowMs();
        boolean free = endpoint.usedSlots() < usableSlots(endpoint);
        for (EndpointWork w : endpoint.works()) {
            WorkPool pool = pool(w.work());
            pool.setOnProbation(w, free && endpoint.health() == EndpointHealth.PROBATION);
            if (free) {
                pool.free().put(w, rank(w, context));
                changed.add(pool);
            } else {
                pool.free().remove(w);
            }
        }
    }

    /** Audits that a leaving or removed endpoint is drained once its last task has ended; deletes a removed one. */
    void completeDrain(EndpointState endpoint, Context context) {
        if (isDrained(endpoint, context) && endpoint.isRemoved()) {
            board.endpoints().states().remove(endpoint.spec().id());
        }
    }

    @Override
    public int usableSlots(EndpointState endpoint) {
        if (!endpoint.isServing() || endpoint.isProbing() || endpoint.health() == EndpointHealth.QUARANTINED) {
            return 0;
        }
        int slots = policy.usableSlots(endpoint, nowMs);
        return endpoint.health() == EndpointHealth.PROBATION ? Math.min(1, slots) : slots;
    }

    private EndpointState create(EndpointSpec spec) {
        EndpointState state = new EndpointState(spec);
        state.setLastReplyAtMs(nowMs);
        return state;
    }

    private double rank(EndpointWork entry, Context context) {
        double rank = policy.rank(entry, context);
        return entry.endpoint().health() == EndpointHealth.PROBATION ? rank + PROBATION_RANK_PENALTY : rank;
    }

    private void unindex(EndpointState endpoint) {
        for (EndpointWork w : endpoint.works()) {
            pool(w.work()).free().remove(w);
            pool(w.work()).setOnProbation(w, false);
        }
    }

    private void updateServingTotals() {
        Map<WorkId, int[]> totals = new HashMap<>();
        for (EndpointState s : board.endpoints().states().values()) {
            if (s.isServing()) {
                s.spec().works().forEach(w -> addTo(totals.computeIfAbsent(w, k -> new int[2]), s.spec()));
            }
        }
        totals.keySet().forEach(this::pool);
        for (WorkPool p : pools.values()) {
            int[] total = totals.getOrDefault(p.state().work(), new int[2]);
            p.state().setServedBy(total[0], total[1]);
        }
    }

    private static void addTo(int[] total, EndpointSpec spec) {
        total[0]++;
        total[1] += spec.slots();
    }

    private boolean isDrained(EndpointState endpoint, Context context) {
        EndpointId id = endpoint.spec().id();
        if (endpoint.isServing()) {
            drained.remove(id);
            return false;
        }
        if (endpoint.outstanding() > 0) {
            return false;
        }
        if (drained.add(id)) {
            context.emit(new Effect.Audit(new AuditEntry(
                    context.nowMs(),
                    AuditEntry.Kind.ENDPOINT_DRAINED,
                    id.name(),
                    board.tickets().inForce().number(),
                    "no task of this VM runs there any more")));
        }
        if (endpoint.isRemoved()) {
            drained.remove(id);
        }
        return true;
    }
}
