package org.gooseberrypier.pool;

/** What a {@link PoolCore} wants done. */
public sealed interface PoolEffect {

    /**
     * Answers a caller.
     *
     * @param call the number of its call
     * @param job the job's identifier
     * @param outcome the answer
     */
    record Answer(long call, String job, JobOutcome outcome) implements PoolEffect {}

    /**
     * Writes an ownership to the shared store if no record was written since.
     *
     * @param expectedOffset where the record must come to lie
     * @param owner the VM that it names
     */
    record Claim(long expectedOffset, VmIncarnation owner) implements PoolEffect {}

    /** Reads the newest ownership from the shared store soon. */
    record ReadOwnership() implements PoolEffect {}

    /**
     * Keeps a link to the owner open, and no other.
     *
     * @param peer the owner's address, or an empty text for none
     */
    record LinkOwner(String peer) implements PoolEffect {}

    /**
     * Sends a message over the link to the owner.
     *
     * @param message what
     */
    record SendToOwner(PoolMessage.ToOwner message) implements PoolEffect {}

    /**
     * Sends a message to an attached VM.
     *
     * @param vm the VM
     * @param message what
     */
    record SendToEntry(VmIncarnation vm, PoolMessage.ToEntry message) implements PoolEffect {}

    /**
     * Tells whether this VM owns endpoints and so needs their list often.
     *
     * @param owner whether it does
     */
    record PollEndpoints(boolean owner) implements PoolEffect {}

    /**
     * Renews the leases of an endpoint and asks what runs there.
     *
     * @param endpoint the endpoint
     * @param token the fencing token
     * @param sentAtMs when, on this VM's steady clock
     * @param acknowledgedSequence up to which end the endpoint may forget
     * @param deadlineMs until when the leases last on the endpoint's clock, or {@link RenewLeases#NO_DEADLINE}
     * @param waitMs how long the endpoint may wait for an end before it answers
     */
    record RenewLeases(
            PoolEndpoint endpoint, long token, long sentAtMs, long acknowledgedSequence, long deadlineMs, long waitMs)
            implements PoolEffect {

        /** The deadline of a call that renews nothing. */
        public static final long NO_DEADLINE = -1;
    }

    /**
     * Starts a run.
     *
     * @param endpoint where
     * @param token the fencing token
     * @param incarnation the endpoint's life that is meant
     * @param run the run
     * @param payload what the task is given
     * @param deadlineMs until when the lease lasts on the endpoint's clock; the order is void after it
     */
    record Start(PoolEndpoint endpoint, long token, long incarnation, RunId run, String payload, long deadlineMs)
            implements PoolEffect {}

    /**
     * Stops a run, and keeps it from beginning later.
     *
     * @param endpoint where
     * @param token the fencing token
     * @param run the run
     */
    record Stop(PoolEndpoint endpoint, long token, RunId run) implements PoolEffect {}

    /**
     * Writes one line to the log.
     *
     * @param warning whether somebody should look at it
     * @param text key=value pairs
     */
    record Log(boolean warning, String text) implements PoolEffect {}
}
