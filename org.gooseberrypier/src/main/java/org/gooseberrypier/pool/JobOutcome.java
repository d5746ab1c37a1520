package org.gooseberrypier.pool;

/** How a job ended for its caller. */
public sealed interface JobOutcome {

    /** All tasks are done. */
    record Completed() implements JobOutcome {}

    /**
     * A task failed as often as its queue allows.
     *
     * @param reason why, for logs
     */
    record Failed(String reason) implements JobOutcome {}

    /**
     * No task of the job has run or will run.
     *
     * @param reason why, for logs
     * @param retryAfterMs when the caller had better come back, in milliseconds
     */
    record Refused(String reason, long retryAfterMs) implements JobOutcome {}

    /**
     * Tasks of the job may have run, and this VM can not learn how they ended.
     *
     * @param reason why, for logs
     */
    record Unknown(String reason) implements JobOutcome {}
}
