package org.gooseberrypier.internal.pool;

import java.util.Optional;

import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolJob;

/**
 * Refuses jobs that cannot be served when they arrive.
 *
 * <p>Load pattern: a burst that is larger than what can be done before its jobs are of no use; jobs that are too large for
 * all endpoints.
 */
final class JobAdmission {

    /** Minimum retry delay sent to a caller, in milliseconds; an earlier retry would arrive within the same burst. */
    static final long MIN_RETRY_AFTER_MS = 500;

    /** Maximum retry delay for overload, in milliseconds; the load of the last two seconds predicts nothing beyond it. */
    private static final long MAX_RETRY_AFTER_MS = 5_000;

    /** Retry delay for a job that is too large for all endpoints, in milliseconds; the endpoints must change first. */
    private static final long TOO_LARGE_RETRY_AFTER_MS = 60_000;

    /**
     * Limit of the jobs at the owner: three times what the largest known site submits within the longest deadline seen, which
     * is 590 jobs per second for 9.6 s.
     */
    private static final int MAX_JOBS = 20_000;

    private final PoolBoard board;
    private final PlacementPlanner planner;
    private final boolean refusesAtOnce;

    JobAdmission(PoolBoard board, PlacementPlanner planner, boolean refusesAtOnce) {
        this.board = board;
        this.planner = planner;
        this.refusesAtOnce = refusesAtOnce;
    }

    /** Adds an arrived job that has not run to the offered load, and returns its refusal if it cannot be served. */
    Optional<JobOutcome.Refused> check(OwnedJob job) {
        if (board.jobs.size() >= MAX_JOBS) {
            return refusal(job.spec, "queue full", MIN_RETRY_AFTER_MS);
        }
        if (!canEverRun(job.spec)) {
            return refusal(job.spec, "no endpoint is large enough", TOO_LARGE_RETRY_AFTER_MS);
        }
        planner.observe(job, board.now);
        double waitMs = planner.expectedWaitMs(job, board.jobs.values(), board.endpoints.values(), board.now);
        if (refusesAtOnce && waitMs > planner.maxUsefulWaitMs(job, board.now)) {
            return refusal(job.spec, "too much work waits", (long) Math.min(waitMs, MAX_RETRY_AFTER_MS));
        }
        return Optional.empty();
    }

    private Optional<JobOutcome.Refused> refusal(PoolJob spec, String why, long waitMs) {
        long retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
        board.log("event=job_refused job=" + spec.id() + " reason=\"" + why + "\" jobs=" + board.jobs.size()
                + " retry_after_ms=" + retryAfterMs);
        return Optional.of(new JobOutcome.Refused(why, retryAfterMs));
    }

    private boolean canEverRun(PoolJob spec) {
        return board.endpoints.isEmpty()
                || board.endpoints.values().stream()
                        .anyMatch(e -> PlacementPlanner.isAllowed(spec, e)
                                && e.registration.milliCores() >= spec.milliCores()
                                && e.registration.memoryMb() >= spec.memoryMb());
    }
}
