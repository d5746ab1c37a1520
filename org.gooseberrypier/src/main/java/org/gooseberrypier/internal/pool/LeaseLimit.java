package org.gooseberrypier.internal.pool;

import java.util.Map;

import org.gooseberrypier.pool.VmIncarnation;

/**
 * Limits the leases at an endpoint that does not answer, and while a run is there for which nobody certainly waits.
 *
 * <p>A lease holds for everything that runs at an endpoint, so that renewals for one run keep all others alive. A caller that
 * leaves its VM, or whose VM is lost, submits its job again 1.3 s later, possibly to a VM that follows another owner and cannot
 * know the run. By then the run has to be over, also if this owner does not learn of it or the endpoint does not carry out its
 * stop.
 */
final class LeaseLimit {

    /**
     * Longest lease after the time at which a run was last certainly awaited, in milliseconds. With the drift of the endpoint's
     * clock it is below the callers' delay.
     */
    private static final long MAX_AFTER_AWAITED_MS = 1_200;

    /**
     * Time after the latest answered call for which leases are granted, in milliseconds. A call that is not answered may have
     * arrived, so that runs of an endpoint that is lost for good are over only after the last lease that was sent to it. One call
     * may be lost without that.
     */
    private static final long MAX_AFTER_ANSWER_MS = 1_300;

    /** Shortest lease for which a run is started, in milliseconds; the next renewal extends it. */
    private static final long MIN_START_MS = 300;

    private final LinkedVms linkedVms;

    LeaseLimit(LinkedVms linkedVms) {
        this.linkedVms = linkedVms;
    }

    /** Returns how long a lease may last that is granted at an endpoint now, in milliseconds; 0 for none. */
    long leaseMs(LeasedEndpoint e, long now) {
        if (e.lastAnsweredCallSentAtMs < now - MAX_AFTER_ANSWER_MS) {
            return 0;
        }
        long endMs = now + LeaseController.LEASE_MS;
        for (LeasedEndpoint.Orphan o : e.orphanRuns.values()) {
            endMs = Math.min(endMs, o.listedSinceMs() + LeaseController.LEASE_MS);
        }
        for (OwnedTask t : e.runs.values()) {
            if (t.state != OwnedTask.State.STOPPING || !t.stopAccepted) {
                endMs = Math.min(endMs, awaitedUntilMs(t.job, now) + MAX_AFTER_AWAITED_MS);
            }
        }
        return Math.max(0, endMs - now);
    }

    /** Returns whether the leases at an endpoint last long enough for another run. */
    boolean allowsStart(LeasedEndpoint e, long now) {
        return leaseMs(e, now) >= MIN_START_MS;
    }

    /**
     * Returns the latest time at which an entry VM certainly waited for a job, in milliseconds: when it was last heard, and no
     * later than the deadline of its callers, whatever became of the withdrawal.
     */
    private long awaitedUntilMs(OwnedJob job, long now) {
        long untilMs = job.awaitedUntilMs;
        for (Map.Entry<VmIncarnation, OwnedJob.Subscription> s : job.subscribers.entrySet()) {
            long heardMs = linkedVms.heardMs(s.getKey(), s.getValue(), now);
            untilMs = Math.max(untilMs, Math.min(heardMs, s.getValue().untilMs()));
        }
        return untilMs;
    }
}
