package org.gooseberrypier.pool;

/** Action that a {@link PoolCore} requests from its environment. */
public sealed interface PoolEffect {

    /**
     * Answers a caller.
     *
     * @param call the number of the caller's call
     * @param job the identifier of the job
     * @param outcome the outcome of the job
     */
    record Answer(long call, String job, JobOutcome outcome) implements PoolEffect {}

    /**
     * Appends an ownership record to the shared store, unless another record was written in the meantime.
     *
     * @param expectedOffset the offset that the record must get
     * @param owner the VM that the record names
     */
    record Claim(long expectedOffset, VmIncarnation owner) implements PoolEffect {}

    /** Reads the latest ownership record from the shared store without waiting for the next regular read. */
    record ReadOwnership() implements PoolEffect {}

    /**
     * Opens and maintains a link to the owner, and closes a link to any other VM.
     *
     * @param peer the address of the owner, or an empty text for no link
     * @param link the number of the link, greater than those of earlier links; it stays the same when a lost connection is
     *     replaced
     */
    record LinkOwner(String peer, long link) implements PoolEffect {}

    /**
     * Sends a message over the link to the owner.
     *
     * @param message the message
     */
    record SendToOwner(PoolMessage.ToOwner message) implements PoolEffect {}

    /**
     * Sends a message to a VM that has a link to this one.
     *
     * @param vm the VM
     * @param message the message
     */
    record SendToEntry(VmIncarnation vm, PoolMessage.ToEntry message) implements PoolEffect {}

    /**
     * Sets how often the list of endpoints is read from the shared store: often at a VM that owns endpoints.
     *
     * @param owner whether this VM owns endpoints
     */
    record PollEndpoints(boolean owner) implements PoolEffect {}

    /**
     * Renews the leases of an endpoint and requests the list of its runs.
     *
     * @param endpoint the endpoint
     * @param token the fencing token
     * @param sentAtMs when the call is sent, on this VM's steady clock, in milliseconds
     * @param acknowledgedSequence the sequence number up to which ends are acknowledged, so that the endpoint may discard them
     * @param deadlineMs when the leases expire, on the endpoint's clock, in milliseconds, or {@link RenewLeases#NO_DEADLINE}
     * @param waitMs how long the endpoint may wait for an end before it answers, in milliseconds
     */
    record RenewLeases(
            PoolEndpoint endpoint, long token, long sentAtMs, long acknowledgedSequence, long deadlineMs, long waitMs)
            implements PoolEffect {

        /** Deadline of a call that renews no lease. */
        public static final long NO_DEADLINE = -1;
    }

    /**
     * Starts a run.
     *
     * @param endpoint the endpoint
     * @param token the fencing token
     * @param run the run
     * @param payload the input of the task
     * @param deadlineMs when the lease expires, on the endpoint's clock, in milliseconds; the order is invalid after that
     */
    record Start(PoolEndpoint endpoint, long token, RunId run, String payload, long deadlineMs) implements PoolEffect {}

    /**
     * Stops a run, or prevents it from starting later.
     *
     * @param endpoint the endpoint
     * @param token the fencing token
     * @param run the run
     */
    record Stop(PoolEndpoint endpoint, long token, RunId run) implements PoolEffect {}

    /**
     * Requests a {@link PoolEvent.CallersChecked} after the events of all callers that have disconnected until now.
     *
     * @param requestedAtMs the current time on this VM's steady clock, in milliseconds
     */
    record CheckCallers(long requestedAtMs) implements PoolEffect {}

    /**
     * Writes one line to the log.
     *
     * @param warning whether the line has the level of a warning
     * @param text the line, as key=value pairs
     */
    record Log(boolean warning, String text) implements PoolEffect {}
}
