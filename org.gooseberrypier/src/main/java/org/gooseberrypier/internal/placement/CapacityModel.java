package org.gooseberrypier.internal.placement;

import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.ticket.EndpointSpec;

/** Computes how many slots of an endpoint a task takes. */
interface CapacityModel {

    /** The result for a task that is larger than the endpoint. */
    int TOO_LARGE = Integer.MAX_VALUE;

    /**
     * Returns how many slots a task takes.
     *
     * @param endpoint the endpoint
     * @param declared the declared size of the task
     * @return the number of slots, at least 1, or {@link #TOO_LARGE}
     */
    int requiredSlots(EndpointSpec endpoint, Resources declared);

    /**
     * Returns the capacity model of an endpoint.
     *
     * @param endpoint the endpoint
     * @return the model of workers if the endpoint declares a capacity, else the model of service instances
     */
    static CapacityModel of(EndpointSpec endpoint) {
        return endpoint.capacity().isPresent() ? ResourceCapacity.INSTANCE : SlotCapacity.INSTANCE;
    }
}
