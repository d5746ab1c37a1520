package org.gooseberrypier.internal.board;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;

/** The other VMs of the ticket, as far as they were heard of. */
public final class MembershipSection {

    /** How often a VM sends a heartbeat to one VM of each other zone, by turns, in milliseconds. */
    public static final long REMOTE_HEARTBEAT_INTERVAL_MS = 1_000;

    /** How long a member may be silent before it is suspected, in milliseconds. */
    public static final long SUSPECT_TIMEOUT_MS = 2_000;

    private final Map<VmId, PeerState> peers = new HashMap<>();

    /**
     * Returns the peers by VM.
     *
     * @return the peers, to be changed by the owner of the section only
     */
    public Map<VmId, PeerState> peers() {
        return peers;
    }

    /**
     * Tells whether a member was heard lately.
     *
     * @param member the member
     * @param nowMs the time in milliseconds since the epoch
     * @return whether it is not suspected
     */
    public boolean isLive(Member member, long nowMs) {
        PeerState peer = peers.get(member.vm());
        return peer != null && peer.member().equals(member) && nowMs - peer.lastHeardAtMs() <= SUSPECT_TIMEOUT_MS;
    }
}
