package org.gooseberrypier.lib;

/** The reasons for which an answer is not {@link Answer.Complete}; callers get one HTTP status for each. */
public enum Reason {
    /** The request could not be parsed or is invalid. */
    MALFORMED,
    /** The key was used before with another body. */
    KEY_REUSED,
    /** The key is older than the retention period. */
    KEY_EXPIRED,
    /** The request exceeds a size limit. */
    TOO_LARGE,
    /** No endpoint can ever run the work as declared. */
    CAN_NEVER_RUN,
    /** The team is over its quota. */
    OVER_QUOTA,
    /** The system has more work than it can complete in time. */
    OVERLOADED,
    /** The deadline passed before the work was done. */
    DEADLINE,
    /** The VM is stopping. */
    STOPPING,
    /** The VM has no ticket yet, or no holder of the key can be reached. */
    UNAVAILABLE,
    /** The caller cancelled the job. */
    CANCELLED,
    /** An endpoint ran the task and reported a failure. */
    TASK_FAILED,
    /** A task was sent to an endpoint and no reply arrived. */
    ANSWER_LOST,
    /** The records of the key are lost, or its job is only partly known. */
    RECORDS_LOST
}
