package org.gooseberrypier.pool;

/** What came of an order to start a run. */
public enum StartResult {
    /** The run has begun, or was there already. */
    STARTED,
    /** The endpoint has seen a higher fencing token; the run will not begin. */
    FENCED,
    /** The endpoint knows this or a later attempt as ended; the run will not begin. */
    SUPERSEDED,
    /** The deadline of the order had passed on the endpoint's clock; the run will not begin. */
    LATE,
    /** The endpoint has no room; the run will not begin. */
    NO_ROOM,
    /** The endpoint can not take such a task; the run will not begin. */
    INVALID,
    /** The endpoint calls itself unhealthy; the run will not begin. */
    UNHEALTHY,
    /** Another life of the endpoint answered; the run will not begin. */
    OTHER_INCARNATION,
    /** The order never left this VM; the run will not begin. */
    NOT_SENT,
    /** No answer came; the run may have begun or begin later. */
    UNANSWERED
}
