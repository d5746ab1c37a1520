package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.board.TeamState;
import org.gooseberrypier.internal.board.WorkState;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.TeamId;

/**
 * Holds the free endpoints and the waiting tasks of one kind of work.
 *
 * <p>Weighted fair queueing shares the endpoints between teams: the team with the smallest virtual time is served next,
 * and each started task advances the virtual time of its team by the expected run time divided by the weight.
 */
final class WorkPool {

    private static final int MAX_FIT_CANDIDATES = 32;

    private final WorkState state;
    private final EndpointHeap free = new EndpointHeap();
    private final Map<TeamId, TeamQueue> queues = new LinkedHashMap<>();
    private final List<TeamQueue> active = new ArrayList<>();
    private final Set<EndpointWork> probation = new LinkedHashSet<>();
    private double virtualTime;

    WorkPool(WorkState state) {
        this.state = state;
    }

    WorkState state() {
        return state;
    }

    EndpointHeap free() {
        return free;
    }

    TeamQueue queue(TeamState team) {
        return queues.computeIfAbsent(team.team(), t -> new TeamQueue(team, this));
    }

    /** Removes the queues and the learned run times of teams that are not kept, which have no waiting tasks. */
    void retainTeams(Set<TeamId> kept) {
        queues.keySet().retainAll(kept);
        active.removeIf(q -> !kept.contains(q.team().team()));
    }

    void add(JobTasks job) {
        TeamQueue queue = job.queue();
        if (!active.contains(queue)) {
            queue.setVirtualTime(Math.max(queue.virtualTime(), virtualTime));
            active.add(queue);
        }
        queue.add(job);
    }

    /** Returns the next job of the least served team, by weight, that is below its quota; null if there is none. */
    JobTasks peek() {
        TeamQueue best = null;
        for (int i = active.size() - 1; i >= 0; i--) {
            TeamQueue q = active.get(i);
            if (q.peek() == null) {
                active.remove(i);
            } else if (q.team().mayRun() && (best == null || q.virtualTime() < best.virtualTime())) {
                best = q;
            }
        }
        return best == null ? null : best.peek();
    }

    /** Returns the first team whose tasks wait only because its quota is reached; null if there is none. */
    TeamQueue firstAtQuota() {
        for (TeamQueue q : active) {
            if (!q.team().mayRun() && q.peek() != null) {
                return q;
            }
        }
        return null;
    }

    void chargeService(TeamQueue queue, double expectedMs) {
        virtualTime = Math.max(virtualTime, queue.virtualTime());
        queue.setVirtualTime(queue.virtualTime() + expectedMs / queue.team().weight());
    }

    /** Returns a free endpoint on probation with enough free slots for a task; null if there is none. */
    EndpointWork findOnProbation(Resources declared, SlotLimit limit) {
        for (EndpointWork e : probation) {
            if (e.position() != EndpointWork.NOT_INDEXED && fits(e, declared, limit)) {
                return e;
            }
        }
        return null;
    }

    /** Sets whether an endpoint is free and on probation. */
    void setOnProbation(EndpointWork entry, boolean value) {
        if (value) {
            probation.add(entry);
        } else if (!probation.isEmpty()) {
            probation.remove(entry);
        }
    }

    /** Returns the best ranked endpoint with room for a task among the first free ones; null if there is none. */
    EndpointWork findFree(Resources declared, SlotLimit limit) {
        int candidates = Math.min(free.size(), MAX_FIT_CANDIDATES);
        EndpointWork best = null;
        for (int i = 0; i < candidates; i++) {
            EndpointWork e = free.get(i);
            boolean better = best == null || e.rank() < best.rank();
            if (better && fits(e, declared, limit)) {
                best = e;
                if (i == 0) {
                    return best;
                }
            }
        }
        return best;
    }

    private static boolean fits(EndpointWork e, Resources declared, SlotLimit limit) {
        int slots =
                CapacityModel.of(e.endpoint().spec()).requiredSlots(e.endpoint().spec(), declared);
        return slots <= limit.usableSlots(e.endpoint()) - e.endpoint().usedSlots();
    }
}
