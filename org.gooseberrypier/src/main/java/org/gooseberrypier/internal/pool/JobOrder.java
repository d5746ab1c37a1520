package org.gooseberrypier.internal.pool;

import java.util.Comparator;

import org.gooseberrypier.pool.SchedulingPolicy;

/** The order in which waiting jobs get room. */
interface JobOrder extends Comparator<JobOrder.Candidate> {

    /**
     * A job that waits for room.
     *
     * @param job the job
     * @param onTime whether it can still meet its objective
     * @param work its size, in milliseconds of a thousandth of a core
     * @param queueRate how much work of its queue arrives, in thousandths of a core
     */
    record Candidate(OwnedJob job, boolean onTime, double work, double queueRate) {}

    /** As they came. */
    JobOrder FIRST_COME = (a, b) -> Long.compare(a.job().arrivedAtMs, b.job().arrivedAtMs);

    /**
     * Those that can still meet their objective first, of these the begun ones, then the least work. Load pattern: more
     * work than room, where each small job that is served in time counts as much as a large one that takes its place.
     */
    JobOrder LEAST_WORK = of(Comparator.comparing(Candidate::onTime)
            .reversed()
            .thenComparing(c -> !c.job().hasStartedTasks())
            .thenComparingDouble(Candidate::work));

    /**
     * Like {@link #LEAST_WORK}, but queues that ask for less come before those that ask for more. Load pattern: queues of
     * large and of small jobs together, where the smallest jobs would push the large ones out.
     */
    JobOrder LEAST_DEMANDING_QUEUE = of(Comparator.comparing(Candidate::onTime)
            .reversed()
            .thenComparing(c -> !c.job().hasStartedTasks())
            .thenComparingDouble(Candidate::queueRate)
            .thenComparingDouble(Candidate::work));

    /** Returns the order that a rule names. */
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
