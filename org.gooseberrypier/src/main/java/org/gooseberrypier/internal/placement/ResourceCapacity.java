package org.gooseberrypier.internal.placement;

import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.ticket.EndpointSpec;

/**
 * The capacity of a worker: a task takes as many slots as the largest fraction of any resource that it declares.
 *
 * <p>A task that declares nothing still takes one slot, which bounds the harm of sizes declared too small.
 */
final class ResourceCapacity implements CapacityModel {

    static final ResourceCapacity INSTANCE = new ResourceCapacity();

    private ResourceCapacity() {}

    @Override
    public int requiredSlots(EndpointSpec endpoint, Resources declared) {
        Resources capacity = endpoint.capacity().orElse(Resources.NONE);
        if (endpoint.slots() <= 0 || !declared.fitsIn(capacity)) {
            return TOO_LARGE;
        }
        long slots = Math.max(
                share(declared.milliCores(), capacity.milliCores(), endpoint.slots()),
                Math.max(
                        share(declared.memoryMb(), capacity.memoryMb(), endpoint.slots()),
                        share(declared.accelerators(), capacity.accelerators(), endpoint.slots())));
        return (int) Math.max(1, slots);
    }

    private static long share(int declared, int capacity, int slots) {
        return declared == 0 ? 0 : ((long) declared * slots + capacity - 1) / capacity;
    }
}
