package org.gooseberrypier.internal.board;

/** The health of an endpoint, which limits the tasks that it gets. */
public enum EndpointHealth {
    /** The endpoint gets tasks up to its limits. */
    HEALTHY,
    /** The endpoint gets one task at a time until a task succeeds. */
    PROBATION,
    /** The endpoint gets no tasks. */
    QUARANTINED
}
