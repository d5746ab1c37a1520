package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.gooseberrypier.pool.PoolJob;

/**
 * Places waiting tasks on endpoints, and decides which jobs cannot be served in time.
 *
 * <p>Among the endpoints on which a task meets its objective, the slowest is chosen, so that the fast ones stay free for long
 * tasks; among equally fast ones, the one with the least free capacity. Without such an endpoint the task gets the fastest
 * one, unless a busy endpoint would meet the objective. Load pattern: more work than capacity, of unequal sizes, on unequal
 * endpoints.
 */
final class PlacementPlanner {

    /** Transmission time of an answer from the endpoint over the owner and the entry VM to the caller, in milliseconds. */
    private static final double ANSWER_MS = 10;

    /** Fraction of the capacity that tasks of mixed sizes can fill. */
    private static final double USABLE_SHARE = 0.85;

    /** Multiple of the response-time objective within which an answer is still of some use. */
    static final double MAX_USEFUL_OBJECTIVES = 3;

    private final DurationEstimator durations;
    private final JobOrder order;
    private final boolean dropsLate;
    private final LeaseLimit leaseLimit;
    private final OfferedLoad offered = new OfferedLoad();
    private double capacity = Double.MAX_VALUE;

    /** A task and the endpoint on which it is placed. */
    record Placement(OwnedTask task, LeasedEndpoint endpoint) {}

    /** Receives the placements as they are decided. */
    interface Placer {

        /** Starts the task, which reduces the free capacity of the endpoint. */
        void place(Placement place);
    }

    PlacementPlanner(DurationEstimator durations, LeaseLimit leaseLimit, JobOrder order, boolean dropsLate) {
        this.leaseLimit = leaseLimit;
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

    /** Returns whether a job cannot be answered in time to be of any use, even if it starts now on the fastest kind. */
    boolean isTooLate(OwnedJob job, long now) {
        return maxUsefulWaitMs(job, now) < 0;
    }

    /**
     * Returns whether more work arrives than can be done. A job that is answered late then uses capacity that another job
     * needs to be answered in time. Load pattern: more work than capacity for seconds.
     */
    private boolean isOverloaded(long now) {
        return offered.rate(now) > USABLE_SHARE * capacity;
    }

    /** Updates the total capacity of the endpoints, each weighted by its speed. */
    void observe(Collection<LeasedEndpoint> endpoints, long now) {
        double sum = 0;
        for (LeasedEndpoint e : endpoints) {
            sum += e.registered && !e.registration.draining()
                    ? e.registration.milliCores() / durations.slowdownFactor(e, now)
                    : 0;
        }
        capacity = sum;
    }

    /** Adds an arrived job to the offered load. */
    void observe(OwnedJob job, long now) {
        offered.observe(job.spec.queue(), work(job), now);
    }

    /** Returns how long a job may wait from now for its start and still be of some use, in milliseconds. */
    double maxUsefulWaitMs(OwnedJob job, long now) {
        double objectives = dropsLate && isOverloaded(now) ? 1 : MAX_USEFUL_OBJECTIVES;
        double left = job.arrivedAtMs + objectives * objectiveMs(job.spec) - ANSWER_MS - now;
        return left - durations.fastestMs(job.spec);
    }

    /**
     * Returns how long the work ahead of a job occupies all endpoints, in milliseconds; the job waits at least this long.
     * Load pattern: a burst that is larger than what can be done before its jobs are of no use.
     */
    double expectedWaitMs(OwnedJob job, Collection<OwnedJob> waiting, Collection<LeasedEndpoint> endpoints, long now) {
        double allowedCapacity = 0;
        double freeCapacity = 0;
        for (LeasedEndpoint e : endpoints) {
            // Includes endpoints that have not answered yet: too high an estimate would refuse a job, which is final.
            if (e.registered && !e.registration.draining() && isAllowed(job.spec, e)) {
                allowedCapacity += e.registration.milliCores() / durations.slowdownFactor(e, now);
                freeCapacity += e.isUsable(now) && e.hasRoom(job) ? e.freeMilliCores() : 0;
            }
        }
        if (allowedCapacity == 0 || freeCapacity >= job.spec.milliCores()) {
            return 0;
        }
        String queue = job.spec.queue();
        double ownWork = work(job);
        double ownQueueRate = offered.queueRate(queue, now);
        double workAhead = 0;
        for (OwnedJob j : waiting) {
            boolean smaller = j.spec.queue().equals(queue)
                    ? work(j) <= ownWork
                    : offered.queueRate(j.spec.queue(), now) < ownQueueRate;
            if (j != job && (j.hasStartedTasks() || smaller) && j.spec.service().equals(job.spec.service())) {
                workAhead += work(j) * j.waitingTasks / j.spec.tasks();
            }
        }
        double left = USABLE_SHARE * allowedCapacity - offered.rateAhead(queue, ownWork, now);
        return workAhead / Math.max(1, left);
    }

    private static double work(OwnedJob job) {
        return (double) job.spec.estimateMs() * job.spec.tasks() * job.spec.milliCores();
    }

    /** Places the waiting tasks for which there is room now. */
    void plan(Collection<OwnedJob> waiting, Collection<LeasedEndpoint> endpoints, long now, Placer placer) {
        long smallest = Long.MAX_VALUE;
        for (OwnedJob j : waiting) {
            smallest = Math.min(smallest, j.spec.milliCores());
        }
        List<LeasedEndpoint> usable = new ArrayList<>();
        for (LeasedEndpoint e : endpoints) {
            if (e.freeMilliCores() >= smallest && e.isUsable(now) && leaseLimit.allowsStart(e, now)) {
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

    /** Places tasks of a job while there is room; removes the endpoints that have no room left for any job. */
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

    /** Returns the jobs that fit on some endpoint. Load pattern: thousands of jobs wait and no capacity is free. */
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
