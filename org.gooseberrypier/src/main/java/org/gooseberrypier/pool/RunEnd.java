package org.gooseberrypier.pool;

/**
 * The end of a run, as its endpoint lists it.
 *
 * @param sequence the number of the end in this life of the endpoint, from 1
 * @param run the run
 * @param cause how it ended
 */
public record RunEnd(long sequence, RunId run, Cause cause) {

    /** How a run ended. */
    public enum Cause {
        /** The task is done. */
        DONE,
        /** The task failed, by its own fault or the endpoint's. */
        FAILED,
        /** It was stopped, its lease lapsed, or the runs that it needs ended. */
        INTERRUPTED
    }
}
