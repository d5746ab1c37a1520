package org.gooseberrypier.pool;

import java.util.Objects;

/**
 * Policy by which waiting jobs are ordered and refused.
 *
 * @param order the order in which waiting jobs are placed
 * @param refusesOnArrival whether a job whose expected wait is too long is refused on arrival, not only once it is too late
 * @param dropsLate whether, under overload, a job that can no longer meet its response-time objective is refused
 */
public record SchedulingPolicy(Order order, boolean refusesOnArrival, boolean dropsLate) {

    /** The policy that served callers best in experiments; see docs/design/pool-experiment.md for the figures. */
    public static final SchedulingPolicy DEFAULT = new SchedulingPolicy(Order.LEAST_DEMANDING_QUEUE, true, false);

    /** Checks that the order is not null. */
    public SchedulingPolicy {
        Objects.requireNonNull(order, "order");
    }

    /** Order in which waiting jobs are placed. */
    public enum Order {
        /** By time of arrival. */
        FIRST_COME,
        /** Jobs that can still meet their objective first, then jobs with started tasks, then the least work. */
        LEAST_WORK,
        /** Like {@link #LEAST_WORK}, but jobs of queues with a lower rate of arriving work come first. */
        LEAST_DEMANDING_QUEUE
    }
}
