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

/** One kind of work: its free endpoints, and the tasks that wait for them, shared fairly between teams. */
final class WorkPool {

    private static final int FIT_CANDIDATES = 32;

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

    /** Forgets what was learned of all teams but some; those forgotten have nothing waiting. */
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

    /** Returns the job of the team with the least service relative to its weight that may run, null if there is none. */
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

    /** Returns the first team that waits for nothing but its quota, null if there is none. */
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

    /** Returns a free endpoint on probation that has room for a task of a size, null if there is none. */
    EndpointWork findOnProbation(Resources declared, SlotLimit limit) {
        for (EndpointWork e : probation) {
            if (e.position() != EndpointWork.NOT_INDEXED && fits(e, declared, limit)) {
                return e;
            }
        }
        return null;
    }

    /** Notes whether an endpoint is on probation. */
    void setOnProbation(EndpointWork entry, boolean value) {
        if (value) {
            probation.add(entry);
        } else if (!probation.isEmpty()) {
            probation.remove(entry);
        }
    }

    /** Returns the best free endpoint that has room for a task of a size, null if there is none among the first. */
    EndpointWork findFree(Resources declared, SlotLimit limit) {
        int candidates = Math.min(free.size(), FIT_CANDIDATES);
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
