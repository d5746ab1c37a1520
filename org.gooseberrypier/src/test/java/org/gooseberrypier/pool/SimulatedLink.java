package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;

/** Link of an entry VM to a peer; each of its two ends learns of its loss at its own time. */
final class SimulatedLink {

    final long number;
    /** The number by which the core of the VM knows the link. */
    private final long ownerLink;

    final SimulatedVm vm;
    final long vmStartNumber;
    final VmIncarnation contact;
    final SimulatedVm peer;
    final long peerStartNumber;
    final long openedAtMs;
    /** Messages to the peer that were sent while the network carried nothing, until they arrive late or the link is dropped. */
    final List<PoolMessage.ToOwner> held = new ArrayList<>();
    /** Whether the VM that opened the link has not detected its loss, so that it goes on sending on it. */
    boolean lossUnnoticed;
    /** Whether nothing passes any more, while new links between the same VMs work. */
    boolean silent;

    SimulatedLink(long number, SimulatedVm vm, SimulatedVm peer, long openedAtMs) {
        this.number = number;
        this.ownerLink = vm.linkNumber;
        this.vm = vm;
        this.openedAtMs = openedAtMs;
        this.vmStartNumber = vm.startNumber();
        this.contact = vm.contact;
        this.peer = peer;
        this.peerStartNumber = peer.startNumber();
    }

    /** Returns the effect by which the VM opened the link. */
    PoolEffect.LinkOwner opened() {
        return new PoolEffect.LinkOwner(target(), ownerLink);
    }

    String target() {
        return peer.contact.address();
    }
}
