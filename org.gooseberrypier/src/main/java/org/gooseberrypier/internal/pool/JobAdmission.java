package org.gooseberrypier.internal.pool;

import java.util.Optional;

import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolJob;

/**
 * Refuses jobs that can not be served, as soon as they arrive.
 *
 * <p>Load pattern: a burst that is larger than what can be done before its jobs are of no use; jobs that no endpoint holds.
 */
final class JobAdmission {

    /** Below this a caller would come back into the same burst, in milliseconds. */
    static final long MIN_RETRY_AFTER_MS = 500;

    /** The load of so much later can not be told from that of the last two seconds, in milliseconds. */
    private static final long MAX_RETRY_AFTER_MS = 5_000;

    /** A job that no endpoint can hold had better not come back before endpoints have changed, in milliseconds. */
    private static final long NEVER_RETRY_AFTER_MS = 60_000;

    /** Three times what the largest known site hands in within the longest deadline seen: 590 a second for 9.6 s. */
    private static final int MAX_JOBS = 20_000;

    private final PoolBoard board;
    private final PlacementPlanner planner;
    private final boolean refusesAtOnce;

    JobAdmission(PoolBoard board, PlacementPlanner planner, boolean refusesAtOnce) {
        this.board = board;
        this.planner = planner;
        this.refusesAtOnce = refusesAtOnce;
    }

    /** Takes note of a job that arrived and of which nothing ran, and returns its refusal if it can not be served. */
    Optional<JobOutcome.Refused> check(OwnedJob job) {
        if (board.jobs.size() >= MAX_JOBS) {
            return refusal(job.spec, "queue full", MIN_RETRY_AFTER_MS);
        }
        if (!canEverRun(job.spec)) {
            return refusal(job.spec, "no endpoint is large enough", NEVER_RETRY_AFTER_MS);
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
