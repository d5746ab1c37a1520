package org.gooseberrypier.pool;

import java.util.List;
import java.util.Map;

/** Message between an entry VM, which accepts jobs from callers, and the owner. */
public sealed interface PoolMessage {

    /** Message from an entry VM to the owner. */
    sealed interface ToOwner extends PoolMessage {}

    /** Message from the owner to an entry VM. */
    sealed interface ToEntry extends PoolMessage {}

    /**
     * Forwards a job to the owner; the same job may be forwarded several times.
     *
     * @param job the job
     * @param ageMs the time since its caller submitted it, in milliseconds
     * @param earlierOwners the number of earlier owners of the job, under which tasks may have run or still run
     * @param doneTasks the indexes of the tasks that are known to be done
     * @param unknownEndpoints whether the list of endpoints of an earlier owner may have been outdated, so that runs of the
     *     job may be at endpoints that other owners have forgotten
     * @param awaitedMs how long a caller waits for the job at most from now on, in milliseconds, or {@link #UNLIMITED}; the owner
     *     starts no task of it after that, and runs of it end
     */
    record ForwardJob(
            PoolJob job,
            long ageMs,
            int earlierOwners,
            List<Integer> doneTasks,
            boolean unknownEndpoints,
            long awaitedMs)
            implements ToOwner {

        /** Time for which a job is awaited whose caller does not tell how long it waits. */
        public static final long UNLIMITED = PoolEvent.JobSubmitted.UNLIMITED;

        /** Makes an immutable copy of the list. */
        public ForwardJob {
            doneTasks = List.copyOf(doneTasks);
        }

        /**
         * Returns the message as it is some time after it was received.
         *
         * @param ms the time, in milliseconds
         * @return the message with a higher age and less time for which the job is awaited
         */
        public ForwardJob delayed(long ms) {
            return new ForwardJob(job, ageMs + ms, earlierOwners, doneTasks, unknownEndpoints, awaitedMs - ms);
        }

        /**
         * Returns the message with another time for which the job is awaited.
         *
         * @param ms the time, in milliseconds
         * @return the message
         */
        public ForwardJob awaitedFor(long ms) {
            return new ForwardJob(job, ageMs, earlierOwners, doneTasks, unknownEndpoints, ms);
        }

        /**
         * Returns whether an earlier owner had the job.
         *
         * @return whether tasks may have run or may still run
         */
        public boolean hadEarlierOwner() {
            return earlierOwners > 0;
        }
    }

    /**
     * Extends the time for which a forwarded job is awaited, for another caller.
     *
     * @param job the identifier of the job
     * @param awaitedMs how long a caller waits for the job at most from now on, in milliseconds, or
     *     {@link ForwardJob#UNLIMITED}
     */
    record ExtendJob(String job, long awaitedMs) implements ToOwner {}

    /**
     * Begins the jobs that the sender forwards over a new link. What the owner received before over the same link is void: the
     * sender may have sent it before it learned of the loss of the earlier link, and does not withdraw it.
     */
    record ForwardsBegin() implements ToOwner {}

    /**
     * Withdraws a job for which no caller waits any more at the entry VM.
     *
     * @param job the identifier of the job
     */
    record WithdrawJob(String job) implements ToOwner {}

    /**
     * Acknowledges a heartbeat: the sender regards the receiver as the owner.
     *
     * @param sentAtMs when the heartbeat was sent, on the clock of its sender, in milliseconds
     */
    record HeartbeatReceived(long sentAtMs) implements ToOwner {}

    /**
     * Reports that a task is done, so that it is not run again if the owner fails.
     *
     * @param job the identifier of the job
     * @param task the index of the task
     */
    record TaskDone(String job, int task) implements ToEntry {}

    /**
     * Reports the outcome of a job.
     *
     * @param job the identifier of the job
     * @param outcome the outcome
     */
    record JobFinished(String job, JobOutcome outcome) implements ToEntry {}

    /**
     * Shows that the owner is alive.
     *
     * @param token the fencing token of the owner
     * @param sentAtMs when it was sent, on the owner's steady clock, in milliseconds
     * @param successors all VMs that have a link to the owner, in the order of succession; empty if unchanged
     * @param waitingJobs the number of jobs without a started task, by queue
     * @param listOutdated whether the owner's list of endpoints is or was outdated, so that the owner may use endpoints that
     *     other VMs have forgotten
     */
    record Heartbeat(
            long token,
            long sentAtMs,
            List<VmIncarnation> successors,
            Map<String, Integer> waitingJobs,
            boolean listOutdated)
            implements ToEntry {

        /** Makes immutable copies of the collections. */
        public Heartbeat {
            successors = List.copyOf(successors);
            waitingJobs = Map.copyOf(waitingJobs);
        }
    }

    /**
     * Reports that the sender did not admit a forwarded job, since it owns no endpoints: it starts no task because of that
     * message.
     *
     * @param job the identifier of the job
     */
    record JobNotAdmitted(String job) implements ToEntry {}

    /**
     * Reports that the sender does not own the pool.
     *
     * @param token the highest fencing token that the sender knows
     */
    record NotOwner(long token) implements ToEntry {}
}
