package org.gooseberrypier.internal.board;

/** What the core counts; the names of the metrics are derived from these names. */
public enum Counter {
    /** Tasks sent to endpoints. */
    TASKS_STARTED,
    /** Tasks that an endpoint ran with success. */
    TASKS_SUCCEEDED,
    /** Tasks that an endpoint ran and failed. */
    TASKS_FAILED,
    /** Attempts that provably did not start. */
    TASKS_NOT_STARTED,
    /** Attempts whose answer will not come. */
    TASKS_LOST,
    /** Jobs answered complete. */
    JOBS_COMPLETE,
    /** Jobs answered failed. */
    JOBS_FAILED,
    /** Jobs answered not-run. */
    JOBS_NOT_RUN,
    /** Jobs answered unknown. */
    JOBS_UNKNOWN,
    /** Answers dropped because their caller or their attempt was gone. */
    ANSWERS_DROPPED,
    /** Keyed submissions passed on to another VM, each try counted. */
    FORWARDS_SENT,
    /** Records sent to a backup, each try counted. */
    RECORDS_SENT,
    /** Heartbeats sent. */
    HEARTBEATS_SENT,
    /** Zone views that came into force here. */
    VIEWS_CHANGED,
    /** Key shards whose records were given up. */
    SHARDS_LOST,
    /** Tickets that came into force. */
    TICKETS_ACCEPTED,
    /** Tickets that were refused. */
    TICKETS_REFUSED,
    /** Contradictions and losses of the ticket stream. */
    TICKET_STREAM_FAULTS,
    /** Checkpoints of the configuration that this VM appended. */
    CHECKPOINTS_WRITTEN,
    /** Sends that an endpoint or its connection refused, wasted. */
    WASTED_REFUSED,
    /** Sends of a repeatable task that was sent before, wasted. */
    WASTED_REPEATED,
    /** Replies of attempts that nobody waits for, wasted. */
    WASTED_LATE,
    /** Tasks that ended after their deadline, wasted. */
    WASTED_AFTER_DEADLINE,
    /** Messages sent to peers about capacity. */
    PLACEMENT_MESSAGES,
    /** RetryPolicy put off because the retry budget was used up. */
    RETRIES_PUT_OFF,
    /** Times that a team's tasks waited for its quota alone. */
    QUOTA_HITS,
    /** Slots that were in use beyond what this VM may use, summed over the changes that caused it. */
    SLOTS_OVERCOMMITTED
}
