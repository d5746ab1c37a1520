package org.gooseberrypier.internal.board;

import org.gooseberrypier.lib.Member;

/** What this VM knows of another one from its messages; never trusted for safety. */
public final class PeerState {

    private final Member member;
    private long heardAtMs;
    private boolean ready;
    private long viewNumber;
    private long ticketNumber;

    /**
     * Creates the state of a member that was just heard of.
     *
     * @param member the member
     * @param heardAtMs the time, in milliseconds since the epoch
     */
    public PeerState(Member member, long heardAtMs) {
        this.member = member;
        this.heardAtMs = heardAtMs;
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
     * Returns when it was last heard.
     *
     * @return milliseconds since the epoch
     */
    public long lastHeardAtMs() {
        return heardAtMs;
    }

    /**
     * Notes when it was last heard.
     *
     * @param value milliseconds since the epoch
     */
    public void setLastHeardAtMs(long value) {
        heardAtMs = value;
    }

    /**
     * Tells whether it said that it takes new work.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Returns the zone view that it last said to know.
     *
     * @return the number of the view, 0 if none
     */
    public long viewNumber() {
        return viewNumber;
    }

    /**
     * Returns the ticket that it last said to be in force.
     *
     * @return the number of the ticket, 0 if none
     */
    public long ticketNumber() {
        return ticketNumber;
    }

    /**
     * Notes a heartbeat.
     *
     * @param isReady whether it takes new work
     * @param view the view that it knows
     * @param ticket the ticket that is in force there
     */
    public void updateFromHeartbeat(boolean isReady, long view, long ticket) {
        ready = isReady;
        viewNumber = Math.max(viewNumber, view);
        ticketNumber = Math.max(ticketNumber, ticket);
    }
}
