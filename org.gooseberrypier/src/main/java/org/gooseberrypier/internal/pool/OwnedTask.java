package org.gooseberrypier.internal.pool;

import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.RunId;

/** One task of a job at the owner. */
final class OwnedTask {

    /** State of a task. */
    enum State {
        /** No run of it exists. */
        WAITING,
        /** A start order was sent and is not answered yet. */
        STARTING,
        /** Its run is known to exist. */
        RUNNING,
        /** A run may exist and is being stopped. */
        STOPPING,
        /** A run of it has completed. */
        DONE
    }

    /** Start time of a run that an earlier owner started. */
    static final long START_UNKNOWN_MS = -1;

    final OwnedJob job;
    final int index;
    State state = State.WAITING;
    int attempt;
    int failures;
    LeasedEndpoint endpoint;
    /**
     * The order that started the present run; null if there is none, or if an earlier owner started it. A job that is submitted
     * again uses its attempt numbers again, so that the run alone does not identify the order.
     */
    PoolEffect.Start startOrder;

    /** When the start order was sent, in milliseconds, or {@link #START_UNKNOWN_MS} if an earlier owner sent it. */
    long startedAtMs;

    /** Number of runs that were stopped because their endpoint was slow. */
    int relocations;

    /** When the start or the stop of the run was last confirmed, in milliseconds. */
    long confirmedAtMs;

    boolean stopAccepted;
    long stopSentAtMs;
    /** The endpoint's clock when it first listed the run, in milliseconds; 0 if it has not. */
    long firstListedClockMs;
    /** Progress of the run when it was first listed, in per cent; -1 if it has not been listed. */
    int firstListedPercent = -1;

    OwnedTask(OwnedJob job, int index) {
        this.job = job;
        this.index = index;
    }

    RunId run() {
        return new RunId(job.spec.id(), index, attempt);
    }

    boolean isActive() {
        return state != State.WAITING && state != State.DONE;
    }
}
