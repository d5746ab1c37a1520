package org.gooseberrypier.internal.pool;

/**
 * Delays the start of tasks while runs of their job may exist that this owner does not know.
 *
 * <p>Such runs belong to an earlier owner, or to an earlier submission of the same job at a VM that has failed. They are
 * known or have ended once every endpoint has reported its runs, or once their leases have certainly expired. Only the latter
 * holds for a job of an earlier owner whose list of endpoints was outdated.
 */
final class DuplicateRunGuard {

    /** Time after which a run of an earlier owner at an unreachable endpoint has expired or was stopped, in milliseconds. */
    static final long EARLIER_RUNS_TIMEOUT_MS = 1_600;

    private final PoolBoard board;
    private final LeaseController leases;
    private long allSyncedSinceMs;
    private boolean newJobsMayStart;
    private long delayedSinceMs;

    DuplicateRunGuard(PoolBoard board, LeaseController leases) {
        this.board = board;
        this.leases = leases;
    }

    /** Starts a placement pass: reads which endpoints have reported their runs, for the decisions on all jobs. */
    void beginPass() {
        allSyncedSinceMs = leases.allEndpointsSyncedSinceMs();
        newJobsMayStart = !board.previousOwnerWasBrief || leases.knownEndpointsSyncedSinceMs() >= board.ownerSinceMs;
        delayedSinceMs = Long.MIN_VALUE;
    }

    /** Returns whether the job may start tasks, since no unknown run of it can exist. */
    boolean mayStart(OwnedJob job) {
        long sinceMs = job.resumed ? job.resumedAtMs : board.ownerSinceMs;
        boolean known = job.resumed ? allSyncedSinceMs >= sinceMs && !job.unknownEndpoints : newJobsMayStart;
        if (known || board.now - sinceMs >= EARLIER_RUNS_TIMEOUT_MS) {
            return true;
        }
        delayedSinceMs = Math.max(delayedSinceMs, sinceMs);
        return false;
    }

    /** Ends a placement pass: probes the endpoints whose reports delay a job. */
    void endPass() {
        leases.probe(delayedSinceMs);
    }
}
