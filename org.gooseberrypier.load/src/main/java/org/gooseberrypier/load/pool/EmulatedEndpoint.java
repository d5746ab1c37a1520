package org.gooseberrypier.load.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.RunEnd;
import org.gooseberrypier.pool.RunId;
import org.gooseberrypier.pool.RunProgress;
import org.gooseberrypier.pool.StartResult;

/** Emulates an endpoint with cores, a speed and an optional fault in virtual time. */
final class EmulatedEndpoint {

    /** Sizes of the endpoints in the users' sheets. */
    private static final long FAST_MILLI_CORES = 16_000;

    private static final long SLOW_MILLI_CORES = 24_000;
    private static final long MEMORY_MB = 65_536;

    /** Factors on the duration of a task: two thirds of the endpoints are fast, one third is slow. */
    private static final double FAST_DURATION_FACTOR = 0.7;

    private static final double SLOW_DURATION_FACTOR = 1.7;

    /** Additional factor on durations while the endpoint has the fault {@link PoolLoad.Fault#SLOW}. */
    static final double FAULT_DURATION_FACTOR = 3;

    private static final int PERCENT = 100;

    final PoolEndpoint registration;
    final double durationFactor;
    PoolLoad.Fault fault = PoolLoad.Fault.NONE;
    private final VirtualTimeScheduler time;
    private final Map<RunId, Run> running = new LinkedHashMap<>();
    private final List<RunEnd> ends = new ArrayList<>();
    private final List<Consumer<LeaseRenewalResult>> pendingReplies = new ArrayList<>();
    private long freeMilliCores;
    private long lastSequence;
    private long wastedMs;

    private record Run(long milliCores, long startMs, long expectedEndMs) {}

    EmulatedEndpoint(VirtualTimeScheduler time, int index) {
        boolean slow = index % 3 == 2;
        this.time = time;
        durationFactor = slow ? SLOW_DURATION_FACTOR : FAST_DURATION_FACTOR;
        freeMilliCores = slow ? SLOW_MILLI_CORES : FAST_MILLI_CORES;
        registration = new PoolEndpoint(
                "endpoint-" + index,
                "10.0.0." + index + ":1",
                "zone",
                "service",
                List.of(slow ? "b" : "a"),
                freeMilliCores,
                MEMORY_MB,
                false);
    }

    long freeMilliCores() {
        return freeMilliCores;
    }

    /** Returns the total time of the runs that were stopped, failed or lost, in milliseconds. */
    long wastedMs() {
        return wastedMs;
    }

    boolean isReachable() {
        return fault != PoolLoad.Fault.CRASHED;
    }

    StartResult start(PoolEffect.Start effect, PoolArrival job) {
        if (freeMilliCores < job.job().milliCores()) {
            return StartResult.NO_ROOM;
        }
        double factor = fault == PoolLoad.Fault.SLOW ? FAULT_DURATION_FACTOR * durationFactor : durationFactor;
        long durationMs = Math.max(1, Math.round(job.workMs() * factor));
        Run run = new Run(job.job().milliCores(), time.nowMs(), time.nowMs() + durationMs);
        running.put(effect.run(), run);
        freeMilliCores -= run.milliCores();
        boolean fails = fault == PoolLoad.Fault.FAILING;
        time.scheduleAfter(fails ? 1 : durationMs, () -> {
            if (running.get(effect.run()) == run) {
                end(effect.run(), fails ? RunEnd.Cause.FAILED : RunEnd.Cause.DONE);
            }
        });
        return StartResult.STARTED;
    }

    void stop(RunId run) {
        if (running.containsKey(run)) {
            end(run, RunEnd.Cause.INTERRUPTED);
        }
    }

    /** Ends all runs without reporting their ends, as a power failure does. */
    void crash() {
        running.values().forEach(r -> {
            wastedMs += time.nowMs() - r.startMs();
            freeMilliCores += r.milliCores();
        });
        running.clear();
    }

    private void end(RunId id, RunEnd.Cause cause) {
        Run run = running.remove(id);
        freeMilliCores += run.milliCores();
        wastedMs += cause == RunEnd.Cause.DONE ? 0 : time.nowMs() - run.startMs();
        ends.add(new RunEnd(++lastSequence, id, cause));
        List<Consumer<LeaseRenewalResult>> replies = List.copyOf(pendingReplies);
        pendingReplies.clear();
        replies.forEach(r -> r.accept(heldResult()));
    }

    void renewLeases(PoolEffect.RenewLeases request, Consumer<LeaseRenewalResult> reply) {
        ends.removeIf(e -> e.sequence() <= request.acknowledgedSequence());
        if (!ends.isEmpty() || request.waitMs() == 0) {
            reply.accept(heldResult());
            return;
        }
        pendingReplies.add(reply);
        time.scheduleAfter(request.waitMs(), () -> {
            if (pendingReplies.remove(reply)) {
                reply.accept(heldResult());
            }
        });
    }

    private LeaseRenewalResult heldResult() {
        long now = time.nowMs();
        List<RunProgress> list = new ArrayList<>();
        running.forEach((id, r) -> list.add(new RunProgress(
                id, (int) (PERCENT * (now - r.startMs()) / Math.max(1, r.expectedEndMs() - r.startMs())))));
        return new LeaseRenewalResult.Held(now, 1, list, List.copyOf(ends));
    }
}
