package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;

/** Gives each VM of the ticket a fixed share of the slots of each endpoint. */
final class StaticSharesPolicy implements PlacementPolicy {

    private final VmShares shares;

    StaticSharesPolicy(VmShares shares) {
        this.shares = shares;
    }

    @Override
    public int usableSlots(EndpointState endpoint, long nowMs) {
        return shares.slotShare(endpoint.spec());
    }

    @Override
    public double rank(EndpointWork entry, Context context) {
        return entry.slowdown();
    }
}
