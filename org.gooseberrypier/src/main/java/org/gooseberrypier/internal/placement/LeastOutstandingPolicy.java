package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;

/** Takes the endpoint with the fewest of this VM's own tasks relative to its slots. */
final class LeastOutstandingPolicy implements PlacementPolicy {

    private static final double TIE = 0.01;

    @Override
    public int usableSlots(EndpointState endpoint, long nowMs) {
        return endpoint.spec().slots();
    }

    @Override
    public double rank(EndpointWork entry, Context context) {
        EndpointState e = entry.endpoint();
        return (double) e.usedSlots() / e.spec().slots()
                + TIE * context.random().nextDouble();
    }
}
