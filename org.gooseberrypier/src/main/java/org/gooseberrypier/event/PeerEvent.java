package org.gooseberrypier.event;

import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.peer.PeerMessage;

/** Something that came from another VM of the system. */
public sealed interface PeerEvent extends Event {

    /**
     * A message arrived; messages may be lost, late, doubled or out of order.
     *
     * @param from the member that sent it
     * @param message the message
     */
    record Received(Member from, PeerMessage message) implements PeerEvent {}

    /**
     * The link to a VM went down; what was sent may or may not have arrived.
     *
     * @param vm the VM
     */
    record LinkDown(VmId vm) implements PeerEvent {}

    /**
     * The host of a VM answered that nobody listens at its peer address; raised at each try to connect.
     *
     * @param vm the VM
     */
    record ConnectionRefused(VmId vm) implements PeerEvent {}
}
