package org.gooseberrypier.pool;

/** Result of an order to start a run. */
public enum StartResult {
    /** The run has started, or already existed. */
    STARTED,
    /** The endpoint has seen a higher fencing token; the run will not start. */
    FENCED,
    /** At the endpoint this or a later attempt has already ended; the run will not start. */
    SUPERSEDED,
    /** The deadline of the order had passed on the endpoint's clock; the run will not start. */
    LATE,
    /** The endpoint has no room; the run will not start. */
    NO_ROOM,
    /** The endpoint cannot execute such a task; the run will not start. */
    INVALID,
    /** The endpoint reports itself as unhealthy; the run will not start. */
    UNHEALTHY,
    /** Another incarnation of the endpoint answered; the run will not start. */
    OTHER_INCARNATION,
    /** The order was not sent; the run will not start. */
    NOT_SENT,
    /** The endpoint did not answer; the run may have started, or may still start. */
    UNANSWERED
}
