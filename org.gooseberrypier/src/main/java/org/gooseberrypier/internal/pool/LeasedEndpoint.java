package org.gooseberrypier.internal.pool;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.RunId;

/** State of an endpoint at its owner: free capacity, clock offset, lease deadline and runs. */
final class LeasedEndpoint {

    /** Assumed clock drift: the slowest clock that the platform allows loses 2 per cent; the rest covers rounding. */
    private static final double MAX_CLOCK_DRIFT = 0.025;

    /** Allowance for the transmission time of an answer, in milliseconds. */
    private static final long TRANSMISSION_MARGIN_MS = 30;

    PoolEndpoint registration;
    boolean registered = true;
    /** Until when the endpoint is polled for its runs although it is not registered, in milliseconds. */
    long pollUntilMs;
    /** Whether the endpoint has answered under the current token, so that all its runs are known. */
    boolean synced;
    /** Whether the endpoint refused the current token. */
    boolean fenced;

    long incarnation;
    long acknowledgedSequence;
    boolean renewing;
    /** Whether a renewal that does not wait for an end is open beside the one that does. */
    boolean probing;
    /** When the last renewal that was answered under the current token had been sent, in milliseconds. */
    long lastAnsweredCallSentAtMs = Long.MIN_VALUE;

    long nextRenewalAtMs;
    int unansweredCalls;
    long lastAnswerAtMs;
    long excludedUntilMs;
    /** Weighted mean factor by which its recent runs took longer than is usual for its kind. */
    double slowness = 1;

    /** When the last run that {@link #slowness} includes ended, in milliseconds. */
    long slownessAtMs;

    int suspicion;

    final Map<RunId, OwnedTask> runs = new HashMap<>();
    /** Runs of an earlier owner whose jobs have not been forwarded yet. */
    final Map<RunId, Orphan> orphanRuns = new HashMap<>();

    /**
     * State of a run whose job has not been forwarded.
     *
     * @param listedSinceMs when this owner first saw the run listed, in milliseconds
     * @param stopSentAtMs when its stop was last ordered, in milliseconds; the time of the listing if it was not
     */
    record Orphan(long listedSinceMs, long stopSentAtMs) {

        Orphan stopSent(long atMs) {
            return new Orphan(listedSinceMs, atMs);
        }
    }

    private boolean clockKnown;
    private long clockOffsetMs;
    private long leaseDeadlineMs = PoolEffect.RenewLeases.NO_DEADLINE;
    private long usedMilliCores;
    private long usedMemoryMb;

    LeasedEndpoint(PoolEndpoint entry) {
        this.registration = entry;
    }

    boolean isClockKnown() {
        return clockKnown;
    }

    /**
     * Updates the clock offset from an answer. The offset is never too high: an answer tells one that is too low by the time until
     * it was read, and the earlier offset less the drift since then remains valid. Load pattern: answers that arrived during
     * a pause of this VM are read after it.
     *
     * @param clockMs the endpoint's clock when it answered, in milliseconds
     * @param sentAtMs when the call was sent, in milliseconds; the offset cannot exceed what follows from an answer at that time
     */
    void setClock(long clockMs, long sentAtMs, long now) {
        long offset = clockMs - now;
        if (clockKnown) {
            long drift = (long) Math.ceil(MAX_CLOCK_DRIFT * Math.max(0, now - lastAnswerAtMs));
            offset = Math.max(offset, Math.min(clockOffsetMs - drift, clockMs - sentAtMs));
        }
        clockKnown = true;
        clockOffsetMs = offset;
        lastAnswerAtMs = now;
    }

    void forgetClock() {
        clockKnown = false;
        leaseDeadlineMs = PoolEffect.RenewLeases.NO_DEADLINE;
    }

    /** Returns a lease deadline on the endpoint's clock, and records that leases may last until then. */
    long extendLease(long now, long leaseMs) {
        long deadline = now + clockOffsetMs + leaseMs;
        leaseDeadlineMs = Math.max(leaseDeadlineMs, deadline);
        return deadline;
    }

    /** Returns for how long the lease that this owner granted certainly lasts, in milliseconds; negative if it has expired. */
    long leaseLeftMs(long now) {
        return leaseDeadlineMs == PoolEffect.RenewLeases.NO_DEADLINE ? -1 : leaseDeadlineMs - clockOffsetMs - now;
    }

    /** Returns whether all leases that this owner granted have certainly expired. */
    boolean isLeaseExpired(long now) {
        if (leaseDeadlineMs == PoolEffect.RenewLeases.NO_DEADLINE) {
            return true;
        }
        long drift = (long) (MAX_CLOCK_DRIFT * Math.max(0, now - lastAnswerAtMs));
        return now - drift - TRANSMISSION_MARGIN_MS > leaseDeadlineMs - clockOffsetMs;
    }

    void add(OwnedTask task) {
        runs.put(task.run(), task);
        task.endpoint = this;
        usedMilliCores += task.job.spec.milliCores();
        usedMemoryMb += task.job.spec.memoryMb();
    }

    void remove(OwnedTask task) {
        if (runs.remove(task.run()) != null) {
            usedMilliCores -= task.job.spec.milliCores();
            usedMemoryMb -= task.job.spec.memoryMb();
        }
        task.endpoint = null;
    }

    long freeMilliCores() {
        return registration.milliCores() - usedMilliCores;
    }

    long freeMemoryMb() {
        return registration.memoryMb() - usedMemoryMb;
    }

    boolean isUsable(long now) {
        return registered
                && synced
                && !fenced
                && clockKnown
                && orphanRuns.isEmpty()
                && !registration.draining()
                && now >= excludedUntilMs;
    }

    boolean hasRoom(OwnedJob job) {
        return freeMilliCores() >= job.spec.milliCores() && freeMemoryMb() >= job.spec.memoryMb();
    }
}
