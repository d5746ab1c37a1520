package org.gooseberrypier.event;

import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.peer.PeerMessage;

/** An event caused by another VM of the system. */
public sealed interface PeerEvent extends Event {

    /**
     * A message arrived; messages may be lost, delayed, duplicated or reordered.
     *
     * @param from the member that sent it
     * @param message the message
     */
    record Received(Member from, PeerMessage message) implements PeerEvent {}

    /**
     * The link to a VM went down; messages sent before may or may not have arrived.
     *
     * @param vm the VM
     */
    record LinkDown(VmId vm) implements PeerEvent {}

    /**
     * The host of a VM refused a connection because no process listens at the peer address; raised for each attempt.
     *
     * @param vm the VM
     */
    record ConnectionRefused(VmId vm) implements PeerEvent {}
}
