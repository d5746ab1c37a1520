package org.gooseberrypier.load.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates open-loop arrivals: the time of each job depends on the seed alone, not on the responses of the system.
 *
 * <p>Jobs arrive as a Poisson process with 1 to 20 tasks each. Most tasks take 50 ms to 1 s, with a log-uniform
 * distribution; a share takes 2 to 5 s, with a uniform distribution.
 */
public final class Workload {

    private static final int MAX_TASKS = 20;
    private static final int LARGE_JOB_TASKS = 490;
    private static final double MEAN_TASKS = (1 + MAX_TASKS) / 2.0;
    private static final double SHORT_MIN_MS = 50;
    private static final double SHORT_MAX_MS = 1_000;
    private static final double LONG_MIN_MS = 2_000;
    private static final double LONG_MAX_MS = 5_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final WorkloadShape shape;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential interarrivals;

    private Workload(WorkloadShape shape, long seed) {
        this.shape = shape;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        interarrivals = ZigguratSampler.Exponential.of(random);
    }

    /**
     * Generates all arrivals of a run.
     *
     * @param shape the properties of the jobs
     * @param capacity the sum of slots times speed of all endpoints
     * @param seconds the time in which jobs arrive, in seconds
     * @param seed the seed
     * @return the jobs in the order of their arrival
     */
    public static List<JobPlan> create(WorkloadShape shape, double capacity, double seconds, long seed) {
        return new Workload(shape, seed).generate(capacity, seconds, Long.toHexString(seed));
    }

    /**
     * Returns the mean run time of a task on an endpoint of speed 1.
     *
     * @param shape the properties of the jobs
     * @return milliseconds
     */
    public static double meanServiceMs(WorkloadShape shape) {
        double shortMean = (SHORT_MAX_MS - SHORT_MIN_MS) / Math.log(SHORT_MAX_MS / SHORT_MIN_MS);
        double longMean = (LONG_MIN_MS + LONG_MAX_MS) / 2;
        return (1 - shape.longShare()) * shortMean + shape.longShare() * longMean;
    }

    private List<JobPlan> generate(double capacity, double seconds, String prefix) {
        double jobsPerSecond = capacity * MILLIS_PER_SECOND / (meanServiceMs(shape) * MEAN_TASKS);
        List<JobPlan> plans = new ArrayList<>();
        boolean largePending = shape.largeJob();
        double arrivalSeconds = interarrivals.sample() / (jobsPerSecond * shape.loadAt(0));
        while (arrivalSeconds < seconds) {
            boolean large = largePending && arrivalSeconds > seconds / 2;
            largePending &= !large;
            int tasks = large ? LARGE_JOB_TASKS : 1 + random.nextInt(MAX_TASKS);
            plans.add(job(prefix + "-" + plans.size(), arrivalSeconds, tasks, seconds));
            arrivalSeconds += interarrivals.sample() / (jobsPerSecond * shape.loadAt(arrivalSeconds / seconds));
        }
        return plans;
    }

    private JobPlan job(String id, double arrivalSeconds, int count, double seconds) {
        Service service = Service.values()[random.nextInt(Service.values().length)];
        String work = service.works().get(random.nextInt(service.works().size()));
        List<TaskPlan> tasks = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            tasks.add(task());
        }
        boolean keyed = random.nextDouble() < shape.keyedShare();
        boolean repeatable = random.nextDouble() < shape.repeatableShare();
        boolean duplicated = random.nextDouble() < shape.duplicatedShare();
        boolean cancelled = random.nextDouble() < shape.cancelledShareAt(arrivalSeconds / seconds);
        long cancelAfterMs = random.nextLong((long) SHORT_MAX_MS);
        return new JobPlan(
                id,
                Math.round(arrivalSeconds * MICROS_PER_SECOND),
                service,
                work,
                tasks,
                shape.deadlineMs(),
                keyed || duplicated || cancelled,
                repeatable,
                duplicated,
                cancelled ? OptionalLong.of(cancelAfterMs) : OptionalLong.empty());
    }

    private TaskPlan task() {
        boolean isLong = random.nextDouble() < shape.longShare();
        double uniform = random.nextDouble();
        double serviceMs = isLong
                ? LONG_MIN_MS + uniform * (LONG_MAX_MS - LONG_MIN_MS)
                : SHORT_MIN_MS * Math.pow(SHORT_MAX_MS / SHORT_MIN_MS, uniform);
        double declaredMs = serviceMs * Math.pow(shape.declaredError(), 2 * random.nextDouble() - 1);
        return new TaskPlan(Math.round(serviceMs), Math.max(1, Math.round(declaredMs)));
    }
}
