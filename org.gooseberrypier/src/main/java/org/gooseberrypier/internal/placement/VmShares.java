package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;

import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.VmSpec;

/** Divides integer amounts between the VMs of the ticket, so that the shares never sum to more than the amount. */
final class VmShares {

    private final Blackboard board;
    private List<VmId> vms = List.of();

    VmShares(Blackboard board) {
        this.board = board;
    }

    /** Sets the VMs of the ticket in force; leaving VMs get no share. */
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
        int vmCount = vmCount();
        int selfIndex = Math.max(0, vms.indexOf(board.settings().self().vm()));
        int position = Math.floorMod(selfIndex + seed, vmCount);
        return amount / vmCount + (position < amount % vmCount ? 1 : 0);
    }
}
