package org.gooseberrypier.internal.pool;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.RunId;

/** An endpoint at its owner: its room, its clock, its leases and what runs there. */
final class LeasedEndpoint {

    /** The slowest clock that the platform allows loses 2 per cent; the rest covers rounding. */
    private static final double CLOCK_DRIFT = 0.025;

    /** Covers the way of an answer, in milliseconds. */
    private static final long CLOCK_MARGIN_MS = 30;

    PoolEndpoint registration;
    boolean registered = true;
    /** Until when it is asked what runs there although it is not registered, in milliseconds. */
    long pollUntilMs;
    /** Whether the endpoint has answered under the token in force, so that all that runs there is known. */
    boolean synced;
    /** Whether the endpoint refused the token in force. */
    boolean fenced;

    long incarnation;
    long acknowledgedSequence;
    boolean renewing;
    /** Whether a call that does not wait is open beside the one that does. */
    boolean probing;
    /** When the last call that was answered under the token in force had been sent. */
    long lastAnsweredCallSentAtMs = Long.MIN_VALUE;

    long nextRenewalAtMs;
    int unansweredCalls;
    long lastAnswerAtMs;
    long excludedUntilMs;
    /** How many times as long as usual for its kind its last runs took, and when the last of them ended. */
    double slowness = 1;

    long slownessAtMs;
    int suspicion;

    final Map<RunId, OwnedTask> runs = new HashMap<>();
    /** Runs of an earlier owner whose jobs were not handed over yet, and since when they are known. */
    final Map<RunId, Long> orphanRuns = new HashMap<>();

    private boolean clockKnown;
    private long clockOffsetMs;
    private long deadlineMs = PoolEffect.RenewLeases.NO_DEADLINE;
    private long usedMilliCores;
    private long usedMemoryMb;

    LeasedEndpoint(PoolEndpoint entry) {
        this.registration = entry;
    }

    boolean isClockKnown() {
        return clockKnown;
    }

    /** Takes the endpoint's clock from an answer; the offset errs towards the past by the way of the answer. */
    void setClock(long clockMs, long now) {
        clockKnown = true;
        clockOffsetMs = clockMs - now;
        lastAnswerAtMs = now;
    }

    void forgetClock() {
        clockKnown = false;
        deadlineMs = PoolEffect.RenewLeases.NO_DEADLINE;
    }

    /** Returns a deadline on the endpoint's clock and remembers that leases may last until then. */
    long extendLease(long now, long leaseMs) {
        long deadline = now + clockOffsetMs + leaseMs;
        deadlineMs = Math.max(deadlineMs, deadline);
        return deadline;
    }

    /** Returns whether every lease that this owner ever gave has surely lapsed. */
    boolean isLeaseExpired(long now) {
        if (deadlineMs == PoolEffect.RenewLeases.NO_DEADLINE) {
            return true;
        }
        long drift = (long) (CLOCK_DRIFT * Math.max(0, now - lastAnswerAtMs));
        return now - drift - CLOCK_MARGIN_MS > deadlineMs - clockOffsetMs;
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
