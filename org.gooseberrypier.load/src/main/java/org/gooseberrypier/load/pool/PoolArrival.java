package org.gooseberrypier.load.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gooseberrypier.pool.PoolJob;

/**
 * A job that arrives, with what only the emulation knows about it.
 *
 * @param arrivalMs when it arrives, in milliseconds
 * @param job what the dispatcher is told
 * @param workMs the true work of each task, in milliseconds on an endpoint of speed 1
 * @param payoff its payoff if it is answered within its objective
 * @param disconnectAfterMs after how long its caller leaves, in milliseconds; at most {@link Long#MAX_VALUE}
 */
record PoolArrival(long arrivalMs, PoolJob job, long workMs, double payoff, long disconnectAfterMs) {

    /** The users' objective: this factor on a task's work, and a fixed time more, in milliseconds. */
    private static final double STRETCH = 1.6;

    private static final long TARGET_MS = 60;

    /** Work answered within this many objectives earns a fifth. */
    private static final double LATE_OBJECTIVES = 3;

    private static final double LATE_SHARE = 0.2;

    /** The sheets' spread of work, of tasks and of what callers declare. */
    private static final double SPREAD = 0.4;

    private static final long MIN_WORK_MS = 5;
    private static final long MEAN_MILLI_CORES = 6_800;
    private static final int MAX_FAILURES = 3;
    private static final double MS_PER_S = 1_000;

    /** A job's payoff grows with its work, from this share on and up to this multiple. */
    private static final double FIXED_WORTH = 0.3;

    private static final double MAX_WORTH = 4;

    /** Draws the arrivals of a load. */
    static List<PoolArrival> generate(PoolLoad load, long lengthMs, long seed) {
        List<PoolArrival> all = new ArrayList<>();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (PoolQueueModel q : PoolQueueModel.USER_QUEUES) {
            double at = 0;
            while (true) {
                double perMs = q.jobsPerSecond() * load.loadFactorAt(q.name(), (long) at, lengthMs) / MS_PER_S;
                at += -Math.log(1 - random.nextDouble()) / perMs;
                if (at >= lengthMs) {
                    break;
                }
                all.add(generate(q, load, (long) at, all.size(), random));
            }
        }
        all.sort(Comparator.comparingLong(PoolArrival::arrivalMs));
        return all;
    }

    private static PoolArrival generate(
            PoolQueueModel q, PoolLoad load, long atMs, int number, UniformRandomProvider random) {
        long work = Math.max(MIN_WORK_MS, Math.round(q.meanWorkMs() * spread(random)));
        int tasks = (int) Math.max(1, Math.round(q.meanTasks() * spread(random)));
        long declared = Math.max(1, Math.round(work * spread(random)));
        long cores = Math.round(MEAN_MILLI_CORES * (1 + (spread(random) - 1) / 2));
        double size = work * tasks / q.meanJobWorkMs();
        double worth = q.payoff() * Math.min(MAX_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * size);
        boolean leaves = random.nextDouble() < load.disconnectShare();
        PoolJob job = new PoolJob(
                "job-" + number,
                q.name(),
                "service",
                "",
                tasks,
                cores,
                64,
                declared,
                0,
                MAX_FAILURES,
                STRETCH,
                TARGET_MS,
                "",
                "");
        PoolArrival whole = new PoolArrival(atMs, job, work, worth, Long.MAX_VALUE);
        return leaves ? new PoolArrival(atMs, job, work, worth, (long) (whole.objectiveMs() / LATE_OBJECTIVES)) : whole;
    }

    private static double spread(UniformRandomProvider random) {
        return 1 - SPREAD + 2 * SPREAD * random.nextDouble();
    }

    /** Returns the time within which an answer earns the whole payoff, in milliseconds. */
    double objectiveMs() {
        return STRETCH * workMs + TARGET_MS;
    }

    /** Returns what an answer earns that comes so long after the arrival. */
    double payoffAfter(long tookMs) {
        if (tookMs <= objectiveMs()) {
            return payoff;
        }
        return tookMs <= LATE_OBJECTIVES * objectiveMs() ? LATE_SHARE * payoff : 0;
    }

    /** Returns whether the job counts: one whose caller left needn't be answered. */
    boolean isCounted() {
        return disconnectAfterMs == Long.MAX_VALUE;
    }
}
