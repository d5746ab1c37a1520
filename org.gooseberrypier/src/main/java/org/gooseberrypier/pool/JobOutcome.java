package org.gooseberrypier.pool;

/** Outcome of a job, as sent to its caller. */
public sealed interface JobOutcome {

    /** All tasks of the job are done. */
    record Completed() implements JobOutcome {}

    /**
     * The job failed, for example because a task reached the failure limit of its queue, or was cancelled.
     *
     * @param reason the cause, for logs
     */
    record Failed(String reason) implements JobOutcome {}

    /**
     * No task of the job has run or will run.
     *
     * @param reason the cause, for logs
     * @param retryAfterMs the delay after which the caller should submit the job again, in milliseconds
     */
    record Refused(String reason, long retryAfterMs) implements JobOutcome {}

    /**
     * Tasks of the job may have run, and this VM cannot determine how they ended.
     *
     * @param reason the cause, for logs
     */
    record Unknown(String reason) implements JobOutcome {}
}
