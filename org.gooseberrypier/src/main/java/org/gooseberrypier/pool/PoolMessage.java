package org.gooseberrypier.pool;

import java.util.List;
import java.util.Map;

/** What the entry part of a VM and the owner tell each other. */
public sealed interface PoolMessage {

    /** A message to the owner. */
    sealed interface ToOwner extends PoolMessage {}

    /** A message from the owner. */
    sealed interface ToEntry extends PoolMessage {}

    /**
     * Hands a job to the owner; the same job may be handed over again.
     *
     * @param job the job
     * @param ageMs how long ago its caller sent it, in milliseconds
     * @param earlierOwners how many owners had it before, under which tasks may have run or be running
     * @param doneTasks the indexes of tasks that are known to be done
     */
    record ForwardJob(PoolJob job, long ageMs, int earlierOwners, List<Integer> doneTasks) implements ToOwner {

        /** Copies the list. */
        public ForwardJob {
            doneTasks = List.copyOf(doneTasks);
        }

        /**
         * Returns whether an earlier owner had the job.
         *
         * @return whether tasks may have run or be running
         */
        public boolean hadEarlierOwner() {
            return earlierOwners > 0;
        }
    }

    /**
     * Takes a job back, since nobody waits for it any more.
     *
     * @param job the job's identifier
     */
    record WithdrawJob(String job) implements ToOwner {}

    /**
     * Tells that a task is done, for the case that the owner is lost.
     *
     * @param job the job's identifier
     * @param task the task's index
     */
    record TaskDone(String job, int task) implements ToEntry {}

    /**
     * Tells how a job ended.
     *
     * @param job the job's identifier
     * @param outcome how
     */
    record JobFinished(String job, JobOutcome outcome) implements ToEntry {}

    /**
     * Shows that the owner is alive.
     *
     * @param token its fencing token
     * @param successors all VMs that are attached to it, in the order in which they would succeed it
     * @param waitingJobs how many jobs wait without a started task, by queue
     */
    record Heartbeat(long token, List<VmIncarnation> successors, Map<String, Integer> waitingJobs) implements ToEntry {

        /** Copies the collections. */
        public Heartbeat {
            successors = List.copyOf(successors);
            waitingJobs = Map.copyOf(waitingJobs);
        }
    }

    /**
     * Tells an entry part that its peer does not own the pool.
     *
     * @param token the highest token that the peer knows
     */
    record NotOwner(long token) implements ToEntry {}
}
