package org.gooseberrypier.internal.pool;

import java.util.Comparator;

import org.gooseberrypier.pool.SchedulingPolicy;

/** Order in which waiting jobs are placed. */
interface JobOrder extends Comparator<JobOrder.Candidate> {

    /**
     * A waiting job with the values that it is compared by.
     *
     * @param job the job
     * @param onTime whether it can still meet its response-time objective
     * @param work its size, in milliseconds of a thousandth of a core
     * @param queueRate the rate of work that arrives for its queue, in thousandths of a core
     */
    record Candidate(OwnedJob job, boolean onTime, double work, double queueRate) {}

    /** By time of arrival. */
    JobOrder FIRST_COME = (a, b) -> Long.compare(a.job().arrivedAtMs, b.job().arrivedAtMs);

    /**
     * Jobs that can still meet their objective first, then jobs with started tasks, then the least work. Load pattern: more
     * work than capacity, where a small job that is served in time counts as much as a large one.
     */
    JobOrder LEAST_WORK = of(Comparator.comparing(Candidate::onTime)
            .reversed()
            .thenComparing(c -> !c.job().hasStartedTasks())
            .thenComparingDouble(Candidate::work));

    /**
     * Like {@link #LEAST_WORK}, but jobs of queues with a lower rate of arriving work come first. Load pattern: queues of
     * large jobs beside queues of small jobs, where the smallest jobs would starve the large ones.
     */
    JobOrder LEAST_DEMANDING_QUEUE = of(Comparator.comparing(Candidate::onTime)
            .reversed()
            .thenComparing(c -> !c.job().hasStartedTasks())
            .thenComparingDouble(Candidate::queueRate)
            .thenComparingDouble(Candidate::work));

    /** Returns the comparator for an order. */
    static JobOrder of(SchedulingPolicy.Order order) {
        return switch (order) {
            case FIRST_COME -> FIRST_COME;
            case LEAST_WORK -> LEAST_WORK;
            case LEAST_DEMANDING_QUEUE -> LEAST_DEMANDING_QUEUE;
        };
    }

    private static JobOrder of(Comparator<Candidate> comparator) {
        return comparator::compare;
    }
}
