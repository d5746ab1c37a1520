package org.gooseberrypier.internal.pool;

import org.gooseberrypier.pool.RunId;

/** One task of a job at the owner. */
final class OwnedTask {

    /** Where a task stands. */
    enum State {
        /** No run of it exists. */
        WAITING,
        /** A start was sent and not yet answered. */
        STARTING,
        /** Its run is known to be there. */
        RUNNING,
        /** A run may exist and is being stopped. */
        STOPPING,
        /** A run of it ended well. */
        DONE
    }

    static final long START_UNKNOWN_MS = -1;

    final OwnedJob job;
    final int index;
    State state = State.WAITING;
    int attempt;
    int failures;
    LeasedEndpoint endpoint;
    /** When the start was sent, in milliseconds, or {@link #START_UNKNOWN_MS} if an earlier owner sent it. */
    long startedAtMs;

    /** How often a run was stopped because its endpoint was slow. */
    int relocations;

    long confirmedAtMs;
    boolean stopAccepted;
    long stopSentAtMs;
    /** The endpoint's clock when it first listed the run, in milliseconds; 0 before. */
    long firstListedClockMs;
    /** Its progress then; -1 before. */
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
