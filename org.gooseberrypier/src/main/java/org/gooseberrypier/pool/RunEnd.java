package org.gooseberrypier.pool;

/**
 * End of a run, as reported by its endpoint.
 *
 * @param sequence the sequence number of the end within the endpoint's incarnation, from 1
 * @param run the run
 * @param cause the cause of the end
 */
public record RunEnd(long sequence, RunId run, Cause cause) {

    /** Cause of the end of a run. */
    public enum Cause {
        /** The task is done. */
        DONE,
        /** The task failed; the task or the endpoint may be at fault. */
        FAILED,
        /** The run was stopped, its lease expired, or runs that it depends on ended. */
        INTERRUPTED
    }
}
