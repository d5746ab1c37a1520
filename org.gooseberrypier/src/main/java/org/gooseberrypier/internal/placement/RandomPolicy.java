package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;

/** Selects among the endpoints on which this VM has free slots, each with the same probability. */
final class RandomPolicy implements PlacementPolicy {

    @Override
    public int usableSlots(EndpointState endpoint, long nowMs) {
        return endpoint.spec().slots();
    }

    /** Ranks by the next arrival of a Poisson process, which is memoryless and therefore favours no endpoint. */
    @Override
    public double rank(EndpointWork entry, Context context) {
        return entry.rank() - Math.log(1 - context.random().nextDouble());
    }
}
