package org.gooseberrypier.internal.placement;

import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.ticket.EndpointSpec;

/**
 * Capacity model of a worker: the fraction of the slots that a task takes is the largest fraction of any resource that
 * it declares, rounded up to whole slots.
 *
 * <p>A task that declares no resources takes one slot, which limits the overload that understated sizes can cause.
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
                slotsFor(declared.milliCores(), capacity.milliCores(), endpoint.slots()),
                Math.max(
                        slotsFor(declared.memoryMb(), capacity.memoryMb(), endpoint.slots()),
                        slotsFor(declared.accelerators(), capacity.accelerators(), endpoint.slots())));
        return (int) Math.max(1, slots);
    }

    private static long slotsFor(int declared, int capacity, int slots) {
        return declared == 0 ? 0 : ((long) declared * slots + capacity - 1) / capacity;
    }
}
