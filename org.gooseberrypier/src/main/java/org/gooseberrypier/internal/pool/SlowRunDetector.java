package org.gooseberrypier.internal.pool;

/** Detects runs that would end sooner if they were restarted on another endpoint. Load pattern: slow and hanging endpoints. */
final class SlowRunDetector {

    /** Minimum time on the endpoint's clock over which the progress of a run is evaluated, in milliseconds. */
    private static final long MIN_OBSERVATION_MS = 150;

    /** Time to stop a run and start another, in milliseconds. */
    private static final double RESTART_COST_MS = 70;

    /** Minimum speedup for which a run is moved; declared durations and speeds are each off by a factor of 1.7. */
    private static final double MIN_SPEEDUP = 3;

    /** Limit of moves of one task; a task that is slow on every endpoint takes longer than its job declares. */
    private static final int MAX_RELOCATIONS = 2;

    private final PoolBoard board;
    private final DurationEstimator durations;

    SlowRunDetector(PoolBoard board, DurationEstimator durations) {
        this.board = board;
        this.durations = durations;
    }

    /**
     * Evaluates the progress that an endpoint reports for a run.
     *
     * @param t the task of the run
     * @param percent the share of its work that is done, 0 to 100
     * @param clockMs the endpoint's clock at the time of the report, in milliseconds
     * @return whether the run should be stopped and restarted on another endpoint
     */
    boolean observe(OwnedTask t, int percent, long clockMs) {
        boolean slow = false;
        if (t.firstListedClockMs == 0) {
            t.firstListedClockMs = clockMs;
        } else if (t.state == OwnedTask.State.RUNNING && !t.job.ending && t.firstListedPercent >= 0) {
            slow = isSlow(t, percent, clockMs - t.firstListedClockMs);
        }
        if (t.firstListedPercent < 0) {
            t.firstListedPercent = percent;
        }
        return slow;
    }

    private boolean isSlow(OwnedTask t, int percent, long observedMs) {
        if (observedMs < MIN_OBSERVATION_MS || t.relocations >= MAX_RELOCATIONS) {
            return false;
        }
        int gained = Math.max(0, percent - t.firstListedPercent);
        double remainingMs = gained == 0 ? Double.MAX_VALUE : observedMs * (100.0 - percent) / gained;
        double restartedMs = durations.fastestMs(t.job.spec) + RESTART_COST_MS;
        if (remainingMs <= MIN_SPEEDUP * restartedMs) {
            return false;
        }
        LeasedEndpoint e = t.endpoint;
        EndpointHealth.onSlow(e, board.now);
        t.relocations++;
        board.log("event=run_slow run=" + t.run() + " endpoint=" + e.registration.id() + " watched_ms=" + observedMs
                + " gained_percent=" + gained + " suspicion=" + e.suspicion);
        return true;
    }
}
