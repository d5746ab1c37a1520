package org.gooseberrypier.internal.pool;

/**
 * Limits the leases at an endpoint while a run is there for which nobody certainly waits.
 *
 * <p>A lease holds for everything that runs at an endpoint, so that renewals for one run keep all others alive. A caller whose
 * VM is lost submits its job again 1.3 s later, possibly to a VM that follows another owner and cannot know the run. By then the
 * run has to be over, also if the endpoint does not carry out its stop.
 */
final class LeaseLimit {

    /**
     * Longest lease after the stop of a run was first ordered, while the endpoint has not accepted it, in milliseconds. With the
     * time for which a lost link may come up again it is below the callers' delay.
     */
    static final long UNCONFIRMED_STOP_MS = 750;

    /** Shortest lease for which a run is started, in milliseconds; the next renewal extends it. */
    private static final long MIN_START_MS = 300;

    private LeaseLimit() {}

    /** Returns how long a lease may last that is granted at an endpoint now, in milliseconds; 0 for none. */
    static long leaseMs(LeasedEndpoint e, long now) {
        long endMs = now + LeaseController.LEASE_MS;
        for (LeasedEndpoint.Orphan o : e.orphanRuns.values()) {
            endMs = Math.min(endMs, o.listedSinceMs() + LeaseController.LEASE_MS);
        }
        for (OwnedTask t : e.runs.values()) {
            endMs = Math.min(endMs, limitMs(t));
        }
        return Math.max(0, endMs - now);
    }

    /** Returns whether the leases at an endpoint last long enough for another run. */
    static boolean allowsStart(LeasedEndpoint e, long now) {
        return leaseMs(e, now) >= MIN_START_MS;
    }

    private static long limitMs(OwnedTask t) {
        if (t.state == OwnedTask.State.STOPPING) {
            return t.stopAccepted ? Long.MAX_VALUE : t.stopOrderedAtMs + UNCONFIRMED_STOP_MS;
        }
        long abandonedMs = t.job.abandonedSinceMs();
        return abandonedMs == 0
                ? Long.MAX_VALUE
                : abandonedMs + JobController.ENTRY_RECONNECT_TIMEOUT_MS + UNCONFIRMED_STOP_MS;
    }
}
