package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.gooseberrypier.pool.PoolJob;

/**
 * Decides in which order waiting tasks get room and where.
 *
 * <p>Order: jobs that can still meet their objective before those that can not, begun ones first, then the least work.
 * Place: among the endpoints on which the task meets the objective the slowest for short work, so that the fast ones stay
 * free for long work, then the tightest fit. Load pattern: more work than room, of unequal sizes, on unequal endpoints.
 */
final class PlacementPlanner {

    /** An answer's way to its caller, in milliseconds: from the endpoint to the owner, the entry VM and the caller. */
    private static final double ANSWER_MS = 10;

    /** Work answered within this many objectives still earns something. */
    static final double LATE_OBJECTIVES = 3;

    private final DurationEstimator durations;

    /** One task and the endpoint that it gets. */
    record Place(OwnedTask task, LeasedEndpoint endpoint) {}

    /** Takes the places as they are decided. */
    interface Placer {

        /** Starts a task, which takes the room. */
        void place(Place place);
    }

    PlacementPlanner(DurationEstimator durations) {
        this.durations = durations;
    }

    /** Returns the response-time objective of a job, in milliseconds from its submission. */
    double objectiveMs(PoolJob job) {
        return job.stretch() * job.estimateMs() + job.targetLatencyMs();
    }

    private double slackMs(OwnedJob job, long now) {
        return job.arrivedAtMs + objectiveMs(job.spec) - ANSWER_MS - now;
    }

    private boolean isOnTime(OwnedJob job, long now) {
        return durations.bestMs(job.spec) <= slackMs(job, now);
    }

    /** Returns whether a job can not be answered in time to be of any use, wherever it starts now. */
    boolean isHopeless(OwnedJob job, long now) {
        double left = job.arrivedAtMs + LATE_OBJECTIVES * objectiveMs(job.spec) - ANSWER_MS - now;
        return durations.bestMs(job.spec) > left;
    }

    /** Places what can be placed now. */
    void plan(Collection<OwnedJob> waiting, Collection<LeasedEndpoint> endpoints, long now, Placer placer) {
        List<LeasedEndpoint> usable = new ArrayList<>();
        for (LeasedEndpoint e : endpoints) {
            if (e.isUsable(now) && e.freeMilliCores() > 0) {
                usable.add(e);
            }
        }
        if (usable.isEmpty()) {
            return;
        }
        for (OwnedJob j : ordered(waiting, now)) {
            for (OwnedTask t : j.tasks) {
                if (t.state == OwnedTask.State.WAITING) {
                    LeasedEndpoint e = choose(j, usable, now);
                    if (e == null) {
                        break;
                    }
                    placer.place(new Place(t, e));
                }
            }
        }
    }

    private List<OwnedJob> ordered(Collection<OwnedJob> waiting, long now) {
        record Ranked(OwnedJob job, int rank, double work) {}
        List<Ranked> ranked = new ArrayList<>();
        for (OwnedJob j : waiting) {
            int rank = (isOnTime(j, now) ? 0 : 2) + (j.isBegun() ? 0 : 1);
            double work = (double) j.spec.estimateMs() * j.spec.tasks() * j.spec.milliCores();
            ranked.add(new Ranked(j, rank, work));
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparingDouble(Ranked::work));
        List<OwnedJob> jobs = new ArrayList<>();
        for (Ranked r : ranked) {
            jobs.add(r.job());
        }
        return jobs;
    }

    private LeasedEndpoint choose(OwnedJob job, List<LeasedEndpoint> usable, long now) {
        double slack = slackMs(job, now);
        boolean canMeet = durations.bestMs(job.spec) <= slack;
        LeasedEndpoint best = null;
        double bestMs = 0;
        boolean bestMeets = false;
        for (LeasedEndpoint e : usable) {
            if (!e.hasRoom(job) || !isAllowed(job.spec, e)) {
                continue;
            }
            double ms = durations.expectMs(job.spec, e);
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
        boolean labelled = job.requiredLabel().isEmpty() || e.entry.labels().contains(job.requiredLabel());
        return labelled && e.entry.service().equals(job.service());
    }
}
