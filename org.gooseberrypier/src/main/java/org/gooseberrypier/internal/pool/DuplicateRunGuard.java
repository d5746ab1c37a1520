package org.gooseberrypier.internal.pool;

/**
 * Decides when a job that may have runs which this owner does not know may start tasks.
 *
 * <p>Such runs are those of an earlier owner, and of an earlier handing-in of the same job at a VM that is gone. They are
 * known, or gone, when every endpoint has told what runs there, or when their leases have surely lapsed.
 */
final class DuplicateRunGuard {

    /** By then a run of an earlier owner that can not be heard has lapsed or was stopped, in milliseconds. */
    private static final long EARLIER_RUNS_MS = 1_600;

    private final PoolBoard board;
    private final LeaseController leases;
    private long allHeardSinceMs;
    private boolean freshMayStart;
    private long heldBackSinceMs;

    DuplicateRunGuard(PoolBoard board, LeaseController leases) {
        this.board = board;
        this.leases = leases;
    }

    /** Takes note of which endpoints have been heard, for the decisions about all jobs that follow. */
    void beginPass() {
        allHeardSinceMs = leases.allEndpointsSyncedSinceMs();
        freshMayStart = !board.previousOwnerWasBrief || leases.knownEndpointsSyncedSinceMs() >= board.ownerSinceMs;
        heldBackSinceMs = Long.MIN_VALUE;
    }

    /** Returns whether no unknown run of the job can exist. */
    boolean mayStart(OwnedJob job) {
        long sinceMs = job.resumed ? job.resumedAtMs : board.ownerSinceMs;
        boolean known = job.resumed ? allHeardSinceMs >= sinceMs : freshMayStart;
        if (known || board.now - sinceMs >= EARLIER_RUNS_MS) {
            return true;
        }
        heldBackSinceMs = Math.max(heldBackSinceMs, sinceMs);
        return false;
    }

    /** Asks the endpoints that jobs were held back for. */
    void endPass() {
        leases.probe(heldBackSinceMs);
    }
}
