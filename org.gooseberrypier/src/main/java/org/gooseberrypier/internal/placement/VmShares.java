package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;

import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.VmSpec;

/** Divides whole amounts between the VMs of the ticket, so that the parts never sum to more than the amount. */
final class VmShares {

    private final Blackboard board;
    private List<VmId> vms = List.of();

    VmShares(Blackboard board) {
        this.board = board;
    }

    /** Takes over the VMs of the ticket in force. */
    void setVms(Collection<VmSpec> specs) {
        List<VmId> sorted = new ArrayList<>();
        for (VmSpec v : specs) {
            if (!v.leaving()) {
                sorted.add(v.id());
            }
        }
        Collections.sort(sorted);
        vms = sorted;
    }

    int vmCount() {
        return Math.max(1, vms.size());
    }

    int slotShare(EndpointSpec endpoint) {
        return shareOf(endpoint.slots(), endpoint.id().hashCode());
    }

    int shareOf(int amount, int seed) {
        int n = vmCount();
        int me = Math.max(0, vms.indexOf(board.settings().self().vm()));
        int turn = Math.floorMod(me + seed, n);
        return amount / n + (turn < amount % n ? 1 : 0);
    }
}
