package org.gooseberrypier.internal.board;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;

/** The other VMs of the ticket from which a message was received. */
public final class MembershipSection {

    /** The interval, in milliseconds, of heartbeats to other zones; each goes to one VM of each zone, in rotation. */
    public static final long REMOTE_HEARTBEAT_INTERVAL_MS = 1_000;

    /** The time without a message after which a member is suspected, in milliseconds. */
    public static final long SUSPECT_TIMEOUT_MS = 2_000;

    private final Map<VmId, PeerState> peers = new HashMap<>();

    /**
     * Returns the peers by VM.
     *
     * @return the peers; only the controller that owns the section may change the map
     */
    public Map<VmId, PeerState> peers() {
        return peers;
    }

    /**
     * Tells whether a message from a member was received within {@link #SUSPECT_TIMEOUT_MS}.
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
