package org.gooseberrypier.internal.pool;

/** Finds runs that would end sooner if they began anew elsewhere. Load pattern: slow and hanging endpoints. */
final class SlowRunDetector {

    /** A run's progress is judged over at least this time on the endpoint's clock, in milliseconds. */
    private static final long MIN_WATCH_MS = 150;

    /** What stopping a run and starting another takes, in milliseconds. */
    private static final double RESTART_MS = 70;

    /** A run is moved only if that is this many times as fast: declared durations are off by 1.7 times, speeds by 1.7. */
    private static final double SLOW_FACTOR = 3;

    /** A run that is slow wherever it was moved to is not slow but longer than its job says. */
    private static final int MAX_MOVES = 2;

    private final PoolBoard board;
    private final DurationEstimator durations;

    SlowRunDetector(PoolBoard board, DurationEstimator durations) {
        this.board = board;
        this.durations = durations;
    }

    /**
     * Takes note of a run's progress.
     *
     * @param percent how much of its work is done, 0 to 100
     * @param clockMs the endpoint's clock then, in milliseconds
     * @return whether the run should be stopped and begun anew elsewhere
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

    private boolean isSlow(OwnedTask t, int percent, long sinceMs) {
        if (sinceMs < MIN_WATCH_MS || t.relocations >= MAX_MOVES) {
            return false;
        }
        int gained = Math.max(0, percent - t.firstListedPercent);
        double leftMs = gained == 0 ? Double.MAX_VALUE : sinceMs * (100.0 - percent) / gained;
        double anewMs = durations.fastestMs(t.job.spec) + RESTART_MS;
        if (leftMs <= SLOW_FACTOR * anewMs) {
            return false;
        }
        LeasedEndpoint e = t.endpoint;
        EndpointHealth.onSlow(e, board.now);
        t.relocations++;
        board.log("event=run_slow run=" + t.run() + " endpoint=" + e.registration.id() + " watched_ms=" + sinceMs
                + " gained_percent=" + gained + " suspicion=" + e.suspicion);
        return true;
    }
}
