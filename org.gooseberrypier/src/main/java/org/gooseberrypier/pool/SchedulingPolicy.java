package org.gooseberrypier.pool;

import java.util.Objects;

/**
 * How work waits for room and when it is refused.
 *
 * @param order which waiting job gets room first
 * @param refusesOnArrival whether a job that surely waits too long is refused when it arrives, not only when it is too late
 * @param dropsLate whether a job that can not be on time any more is refused while more work arrives than can be done
 */
public record SchedulingPolicy(Order order, boolean refusesOnArrival, boolean dropsLate) {

    /** What experiments found best for callers; docs/design/pool-experiment.md has the figures. */
    public static final SchedulingPolicy DEFAULT = new SchedulingPolicy(Order.LEAST_DEMANDING_QUEUE, true, false);

    /** Checks that nothing is missing. */
    public SchedulingPolicy {
        Objects.requireNonNull(order, "order");
    }

    /** Orders of waiting jobs. */
    public enum Order {
        /** As they came. */
        FIRST_COME,
        /** Those that can be on time first, of these the begun ones, then the least work. */
        LEAST_WORK,
        /** Like the least work, but queues that ask for less come first. */
        LEAST_DEMANDING_QUEUE
    }
}
