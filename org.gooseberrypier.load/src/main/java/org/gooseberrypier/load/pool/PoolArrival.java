package org.gooseberrypier.load.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gooseberrypier.pool.PoolJob;

/**
 * A generated job; apart from {@code job}, only the emulation knows these values.
 *
 * @param arrivalMs when the job arrives, in milliseconds from the start of the arrivals
 * @param job the job as the dispatcher sees it
 * @param workMs the actual duration of each task, in milliseconds on an endpoint of speed 1
 * @param payoff the payoff if the job is answered within its objective
 * @param disconnectAfterMs how long after the arrival the caller disconnects, in milliseconds; {@link Long#MAX_VALUE}
 *     if it waits for the answer
 */
record PoolArrival(long arrivalMs, PoolJob job, long workMs, double payoff, long disconnectAfterMs) {

    /** The users' response-time objective: this factor times the duration of a task, plus a fixed time. */
    private static final double OBJECTIVE_FACTOR = 1.6;

    private static final long OBJECTIVE_FIXED_MS = 60;

    /** An answer after the objective, but within this multiple of it, earns a fifth of the payoff. */
    private static final double MAX_USEFUL_OBJECTIVES = 3;

    private static final double LATE_PAYOFF_SHARE = 0.2;

    /** Spread of durations, task counts and declared durations in the users' sheets, as a share of the mean. */
    private static final double SPREAD = 0.4;

    private static final long MIN_WORK_MS = 5;
    private static final long MEAN_MILLI_CORES = 6_800;
    private static final int MAX_FAILURES = 3;
    private static final double MS_PER_SECOND = 1_000;

    /**
     * Factors on the payoff of a job of mean work: this part is fixed, the rest is proportional to the work of the job,
     * and the sum is limited.
     */
    private static final double FIXED_PAYOFF_SHARE = 0.3;

    private static final double MAX_PAYOFF_FACTOR = 4;

    /** Generates the arrivals of a load, in the order of their times. */
    static List<PoolArrival> generate(PoolLoad load, long lengthMs, long seed) {
        List<PoolArrival> all = new ArrayList<>();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (PoolQueueModel q : PoolQueueModel.USER_QUEUES) {
            double at = 0;
            while (true) {
                double perMs = q.jobsPerSecond() * load.loadFactorAt(q.name(), (long) at, lengthMs) / MS_PER_SECOND;
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
            PoolQueueModel q, PoolLoad load, long arrivalMs, int number, UniformRandomProvider random) {
        long work = Math.max(MIN_WORK_MS, Math.round(q.meanWorkMs() * spread(random)));
        int tasks = (int) Math.max(1, Math.round(q.meanTasks() * spread(random)));
        long declared = Math.max(1, Math.round(work * spread(random)));
        long cores = Math.round(MEAN_MILLI_CORES * (1 + (spread(random) - 1) / 2));
        double relativeWork = work * tasks / q.meanJobWorkMs();
        double payoff =
                q.payoff() * Math.min(MAX_PAYOFF_FACTOR, FIXED_PAYOFF_SHARE + (1 - FIXED_PAYOFF_SHARE) * relativeWork);
        boolean disconnects = random.nextDouble() < load.disconnectShare();
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
                OBJECTIVE_FACTOR,
                OBJECTIVE_FIXED_MS,
                "",
                "");
        PoolArrival waiting = new PoolArrival(arrivalMs, job, work, payoff, Long.MAX_VALUE);
        return disconnects
                ? new PoolArrival(arrivalMs, job, work, payoff, (long) (waiting.objectiveMs() / MAX_USEFUL_OBJECTIVES))
                : waiting;
    }

    private static double spread(UniformRandomProvider random) {
        return 1 - SPREAD + 2 * SPREAD * random.nextDouble();
    }

    /** Returns the longest response time that earns the full payoff, in milliseconds. */
    double objectiveMs() {
        return OBJECTIVE_FACTOR * workMs + OBJECTIVE_FIXED_MS;
    }

    /** Returns the payoff of an answer with this response time. */
    double payoffAfter(long responseMs) {
        if (responseMs <= objectiveMs()) {
            return payoff;
        }
        return responseMs <= MAX_USEFUL_OBJECTIVES * objectiveMs() ? LATE_PAYOFF_SHARE * payoff : 0;
    }

    /** Returns whether the job is counted; a job whose caller disconnects need not be answered. */
    boolean isCounted() {
        return disconnectAfterMs == Long.MAX_VALUE;
    }
}
