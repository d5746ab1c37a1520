package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;

/** Selects the endpoint on which the tasks of this VM use the smallest fraction of the slots; breaks ties at random. */
final class LeastOutstandingPolicy implements PlacementPolicy {

    private static final double TIE_BREAK_RANGE = 0.01;

    @Override
    public int usableSlots(EndpointState endpoint, long nowMs) {
        return endpoint.spec().slots();
    }

    @Override
    public double rank(EndpointWork entry, Context context) {
        EndpointState e = entry.endpoint();
        return (double) e.usedSlots() / e.spec().slots()
                + TIE_BREAK_RANGE * context.random().nextDouble();
    }
}
