package org.gooseberrypier.internal.board;

import org.gooseberrypier.lib.Member;

/** The state of another VM according to its messages; it may be outdated, and safety must not depend on it. */
public final class PeerState {

    private final Member member;
    private long lastHeardAtMs;
    private boolean ready;
    private long viewNumber;
    private long ticketNumber;

    /**
     * Creates the state of a member from which a first message was received.
     *
     * @param member the member
     * @param lastHeardAtMs the time of the message, in milliseconds since the epoch
     */
    public PeerState(Member member, long lastHeardAtMs) {
        this.member = member;
        this.lastHeardAtMs = lastHeardAtMs;
    }

    /**
     * Returns the member.
     *
     * @return the VM and its incarnation
     */
    public Member member() {
        return member;
    }

    /**
     * Returns the time of the last message of the member.
     *
     * @return milliseconds since the epoch
     */
    public long lastHeardAtMs() {
        return lastHeardAtMs;
    }

    /**
     * Sets the time of the last message of the member.
     *
     * @param value milliseconds since the epoch
     */
    public void setLastHeardAtMs(long value) {
        lastHeardAtMs = value;
    }

    /**
     * Tells whether the member accepts new work, according to its last heartbeat.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Returns the newest zone view that the member has reported.
     *
     * @return the number of the view, 0 if none
     */
    public long viewNumber() {
        return viewNumber;
    }

    /**
     * Returns the newest ticket that the member has reported to be in force.
     *
     * @return the number of the ticket, 0 if none
     */
    public long ticketNumber() {
        return ticketNumber;
    }

    /**
     * Updates the state from a heartbeat.
     *
     * @param isReady whether the member accepts new work
     * @param view the number of the zone view that the member knows
     * @param ticket the number of the ticket in force on the member
     */
    public void updateFromHeartbeat(boolean isReady, long view, long ticket) {
        ready = isReady;
        viewNumber = Math.max(viewNumber, view);
        ticketNumber = Math.max(ticketNumber, ticket);
    }
}
