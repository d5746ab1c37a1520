package org.gooseberrypier.internal.placement;

import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.ticket.EndpointSpec;

/** Capacity model of a service instance: each task takes one slot. */
final class SlotCapacity implements CapacityModel {

    static final SlotCapacity INSTANCE = new SlotCapacity();

    private SlotCapacity() {}

    @Override
    public int requiredSlots(EndpointSpec endpoint, Resources declared) {
        return endpoint.slots() > 0 ? 1 : TOO_LARGE;
    }
}
