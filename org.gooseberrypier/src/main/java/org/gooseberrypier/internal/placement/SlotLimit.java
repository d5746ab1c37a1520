package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.EndpointState;

/** Says how many slots of an endpoint this VM may use at the moment. */
@FunctionalInterface
interface SlotLimit {

    /**
     * Returns the limit.
     *
     * @param endpoint the endpoint
     * @return the number of slots, 0 if it gets no work
     */
    int usableSlots(EndpointState endpoint);
}
