package org.gooseberrypier.internal.board;

/** The counters of the core; the names of the metrics are derived from the names of the constants. */
public enum Counter {
    /** Tasks sent to endpoints. */
    TASKS_STARTED,
    /** Tasks that an endpoint completed successfully. */
    TASKS_SUCCEEDED,
    /** Tasks that an endpoint ran and failed. */
    TASKS_FAILED,
    /** Attempts that are known not to have started. */
    TASKS_NOT_STARTED,
    /** Attempts whose reply was lost. */
    TASKS_LOST,
    /** Jobs answered complete. */
    JOBS_COMPLETE,
    /** Jobs answered failed. */
    JOBS_FAILED,
    /** Jobs answered not-run. */
    JOBS_NOT_RUN,
    /** Jobs answered unknown. */
    JOBS_UNKNOWN,
    /** Answers dropped because their caller had disconnected or their request was closed. */
    ANSWERS_DROPPED,
    /** Requests for keys sent or forwarded to another VM, including repeated ones. */
    FORWARDS_SENT,
    /** Key records sent to a backup, including repeated ones. */
    RECORDS_SENT,
    /** Heartbeats sent. */
    HEARTBEATS_SENT,
    /** Zone views installed on this VM. */
    VIEWS_CHANGED,
    /** Key shards whose records were declared lost. */
    SHARDS_LOST,
    /** Tickets that came into force. */
    TICKETS_ACCEPTED,
    /** Tickets that were refused. */
    TICKETS_REFUSED,
    /** Contradictions and losses detected in the ticket stream. */
    TICKET_STREAM_FAULTS,
    /** Configuration checkpoints appended by this VM. */
    CHECKPOINTS_WRITTEN,
    /** Wasted sends: refused by an endpoint or its connection. */
    WASTED_REFUSED,
    /** Wasted sends: repetitions of a repeatable task. */
    WASTED_REPEATED,
    /** Wasted replies: of attempts that are no longer awaited. */
    WASTED_LATE,
    /** Wasted tasks: ended after their deadline. */
    WASTED_AFTER_DEADLINE,
    /** Messages about endpoint capacity sent to peers. */
    PLACEMENT_MESSAGES,
    /** Retries delayed because the retry budget was exhausted. */
    RETRIES_PUT_OFF,
    /** Occasions on which tasks of a team waited only because of its quota. */
    QUOTA_HITS,
    /** Slots in use beyond the number that this VM may use, summed over the changes that caused the excess. */
    SLOTS_OVERCOMMITTED
}
