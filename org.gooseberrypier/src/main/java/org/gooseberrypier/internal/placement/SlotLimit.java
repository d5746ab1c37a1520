package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.EndpointState;

/** Limits how many slots of an endpoint this VM may use at present. */
@FunctionalInterface
interface SlotLimit {

    /**
     * Returns the limit.
     *
     * @param endpoint the endpoint
     * @return the number of slots; 0 if the endpoint gets no tasks
     */
    int usableSlots(EndpointState endpoint);
}
