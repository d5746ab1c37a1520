package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.gooseberrypier.pool.PoolJob;

/**
 * Decides where waiting tasks get room, and which jobs can not be served in time.
 *
 * <p>Placement: among the endpoints on which the task meets the objective the slowest for short work, so that the fast ones stay
 * free for long work, then the tightest fit. Load pattern: more work than room, of unequal sizes, on unequal endpoints.
 */
final class PlacementPlanner {

    /** An answer's way to its caller, in milliseconds: from the endpoint to the owner, the entry VM and the caller. */
    private static final double ANSWER_MS = 10;

    /** The share of the room that tasks of mixed sizes can fill. */
    private static final double USABLE_SHARE = 0.85;

    /** Work answered within this many objectives still earns something. */
    static final double MAX_USEFUL_OBJECTIVES = 3;

    private final DurationEstimator durations;
    private final JobOrder order;
    private final boolean dropsLate;
    private final OfferedLoad offered = new OfferedLoad();
    private double capacity = Double.MAX_VALUE;

    /** One task and the endpoint that it gets. */
    record Placement(OwnedTask task, LeasedEndpoint endpoint) {}

    /** Takes the places as they are decided. */
    interface Placer {

        /** Starts a task, which takes the room. */
        void place(Placement place);
    }

    PlacementPlanner(DurationEstimator durations, JobOrder order, boolean dropsLate) {
        this.dropsLate = dropsLate;
        this.durations = durations;
        this.order = order;
    }

    /** Returns the response-time objective of a job, in milliseconds from its submission. */
    double objectiveMs(PoolJob job) {
        return job.stretch() * job.estimateMs() + job.targetLatencyMs();
    }

    private double slackMs(OwnedJob job, long now) {
        return job.arrivedAtMs + objectiveMs(job.spec) - ANSWER_MS - now;
    }

    private boolean isOnTime(OwnedJob job, long now) {
        return durations.fastestMs(job.spec) <= slackMs(job, now);
    }

    /** Returns whether a job can not be answered in time to be of any use, wherever it starts now. */
    boolean isTooLate(OwnedJob job, long now) {
        return maxUsefulWaitMs(job, now) < 0;
    }

    /**
     * Returns whether more work arrives than can be done: then a job that is answered late takes the room of one that could
     * be answered in time. Load pattern: more work than room for seconds.
     */
    private boolean isOverloaded(long now) {
        return offered.rate(now) > USABLE_SHARE * capacity;
    }

    /** Takes note of the endpoints, of which each holds the more work the faster it is. */
    void observe(Collection<LeasedEndpoint> endpoints, long now) {
        double sum = 0;
        for (LeasedEndpoint e : endpoints) {
            sum += e.registered && !e.registration.draining()
                    ? e.registration.milliCores() / durations.slowdownFactor(e, now)
                    : 0;
        }
        capacity = sum;
    }

    /** Takes note of a job that arrived. */
    void observe(OwnedJob job, long now) {
        offered.observe(job.spec.queue(), work(job), now);
    }

    /** Returns how long a job may wait for its start and still be of some use, in milliseconds from now. */
    double maxUsefulWaitMs(OwnedJob job, long now) {
        double objectives = dropsLate && isOverloaded(now) ? 1 : MAX_USEFUL_OBJECTIVES;
        double left = job.arrivedAtMs + objectives * objectiveMs(job.spec) - ANSWER_MS - now;
        return left - durations.fastestMs(job.spec);
    }

    /**
     * Returns how long the work that goes before a job keeps all endpoints busy, in milliseconds: at least so long the job
     * waits. Load pattern: a burst that is larger than what can be done before its jobs are of no use.
     */
    double expectedWaitMs(OwnedJob job, Collection<OwnedJob> waiting, Collection<LeasedEndpoint> endpoints, long now) {
        double allowed = 0;
        double free = 0;
        for (LeasedEndpoint e : endpoints) {
            // One that did not answer yet counts too: the estimate must not be too high, as a refusal is final.
            if (e.registered && !e.registration.draining() && isAllowed(job.spec, e)) {
                allowed += e.registration.milliCores() / durations.slowdownFactor(e, now);
                free += e.isUsable(now) && e.hasRoom(job) ? e.freeMilliCores() : 0;
            }
        }
        if (allowed == 0 || free >= job.spec.milliCores()) {
            return 0;
        }
        String queue = job.spec.queue();
        double own = work(job);
        double demand = offered.queueRate(queue, now);
        double ahead = 0;
        for (OwnedJob j : waiting) {
            boolean smaller =
                    j.spec.queue().equals(queue) ? work(j) <= own : offered.queueRate(j.spec.queue(), now) < demand;
            if (j != job && (j.hasStartedTasks() || smaller) && j.spec.service().equals(job.spec.service())) {
                ahead += work(j) * j.waitingTasks / j.spec.tasks();
            }
        }
        double left = USABLE_SHARE * allowed - offered.rateAhead(queue, own, now);
        return ahead / Math.max(1, left);
    }

    private static double work(OwnedJob job) {
        return (double) job.spec.estimateMs() * job.spec.tasks() * job.spec.milliCores();
    }

    /** Places what can be placed now. */
    void plan(Collection<OwnedJob> waiting, Collection<LeasedEndpoint> endpoints, long now, Placer placer) {
        long smallest = Long.MAX_VALUE;
        for (OwnedJob j : waiting) {
            smallest = Math.min(smallest, j.spec.milliCores());
        }
        List<LeasedEndpoint> usable = new ArrayList<>();
        for (LeasedEndpoint e : endpoints) {
            if (e.freeMilliCores() >= smallest && e.isUsable(now)) {
                usable.add(e);
            }
        }
        List<OwnedJob> fitting = fitting(waiting, usable);
        if (fitting.isEmpty()) {
            return;
        }
        for (OwnedJob j : ordered(fitting, now)) {
            placeTasks(j, usable, smallest, now, placer);
            if (usable.isEmpty()) {
                return;
            }
        }
    }

    /** Places tasks of a job until none is left or none gets room; endpoints without room for any job are taken out. */
    private void placeTasks(OwnedJob job, List<LeasedEndpoint> usable, long smallest, long now, Placer placer) {
        for (OwnedTask t : job.tasks) {
            if (t.state != OwnedTask.State.WAITING) {
                continue;
            }
            LeasedEndpoint e = choose(job, usable, now);
            if (e == null) {
                return;
            }
            placer.place(new Placement(t, e));
            if (e.freeMilliCores() < smallest) {
                usable.remove(e);
            }
        }
    }

    /** Leaves out the jobs that no endpoint has room for. Load pattern: thousands of jobs wait and nothing is free. */
    private static List<OwnedJob> fitting(Collection<OwnedJob> waiting, List<LeasedEndpoint> usable) {
        long largest = 0;
        for (LeasedEndpoint e : usable) {
            largest = Math.max(largest, e.freeMilliCores());
        }
        List<OwnedJob> fitting = new ArrayList<>();
        for (OwnedJob j : waiting) {
            if (j.spec.milliCores() <= largest) {
                fitting.add(j);
            }
        }
        return fitting;
    }

    private List<OwnedJob> ordered(Collection<OwnedJob> waiting, long now) {
        List<JobOrder.Candidate> candidates = new ArrayList<>();
        for (OwnedJob j : waiting) {
            candidates.add(
                    new JobOrder.Candidate(j, isOnTime(j, now), work(j), offered.queueRate(j.spec.queue(), now)));
        }
        candidates.sort(order);
        List<OwnedJob> jobs = new ArrayList<>();
        for (JobOrder.Candidate c : candidates) {
            jobs.add(c.job());
        }
        return jobs;
    }

    private LeasedEndpoint choose(OwnedJob job, List<LeasedEndpoint> usable, long now) {
        double slack = slackMs(job, now);
        boolean canMeet = durations.fastestMs(job.spec) <= slack;
        LeasedEndpoint best = null;
        double bestMs = 0;
        boolean bestMeets = false;
        for (LeasedEndpoint e : usable) {
            if (!e.hasRoom(job) || !isAllowed(job.spec, e)) {
                continue;
            }
            double ms = durations.expectedMs(job.spec, e, now);
            boolean meets = ms <= slack;
            if (best == null || isBetter(meets, ms, e, bestMeets, bestMs, best)) {
                best = e;
                bestMs = ms;
                bestMeets = meets;
            }
        }
        boolean waitsForFaster = canMeet && !bestMeets;
        return waitsForFaster ? null : best;
    }

    private static boolean isBetter(
            boolean meets, double ms, LeasedEndpoint e, boolean bestMeets, double bestMs, LeasedEndpoint best) {
        if (meets != bestMeets) {
            return meets;
        }
        if (e.suspicion != best.suspicion) {
            return e.suspicion < best.suspicion;
        }
        if (ms != bestMs) {
            return meets ? ms > bestMs : ms < bestMs;
        }
        return e.freeMilliCores() < best.freeMilliCores();
    }

    static boolean isAllowed(PoolJob job, LeasedEndpoint e) {
        boolean labelled =
                job.requiredLabel().isEmpty() || e.registration.labels().contains(job.requiredLabel());
        return labelled && e.registration.service().equals(job.service());
    }
}
