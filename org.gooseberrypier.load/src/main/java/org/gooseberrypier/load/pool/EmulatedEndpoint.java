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

/** An endpoint with cores, a speed and a fault, under virtual time. */
final class EmulatedEndpoint {

    /** The endpoints of the users' sheets, in thousandths of a core and megabytes. */
    private static final long FAST_MILLI_CORES = 16_000;

    private static final long SLOW_MILLI_CORES = 24_000;
    private static final long MEMORY_MB = 65_536;

    /** What a task's duration is multiplied with: two thirds of the endpoints are fast, one third is slow. */
    private static final double FAST = 0.7;

    private static final double SLOW = 1.7;

    /** What a slow endpoint's durations are multiplied with besides. */
    static final double FAULT_DURATION_FACTOR = 3;

    private static final int PERCENT = 100;

    final PoolEndpoint registration;
    final double durationFactor;
    PoolLoad.Fault fault = PoolLoad.Fault.NONE;
    private final VirtualTimeScheduler time;
    private final Map<RunId, Run> running = new LinkedHashMap<>();
    private final List<RunEnd> ends = new ArrayList<>();
    private final List<Consumer<LeaseRenewalResult>> waiters = new ArrayList<>();
    private long free;
    private long lastEnd;
    private long wastedMs;

    private record Run(long milliCores, long sinceMs, long untilMs) {}

    EmulatedEndpoint(VirtualTimeScheduler time, int index) {
        boolean slow = index % 3 == 2;
        this.time = time;
        durationFactor = slow ? SLOW : FAST;
        free = slow ? SLOW_MILLI_CORES : FAST_MILLI_CORES;
        registration = new PoolEndpoint(
                "endpoint-" + index,
                "10.0.0." + index + ":1",
                "zone",
                "service",
                List.of(slow ? "b" : "a"),
                free,
                MEMORY_MB,
                false);
    }

    long freeMilliCores() {
        return free;
    }

    /** Returns how long stopped and failed runs have worked here, in milliseconds of a run. */
    long wastedMs() {
        return wastedMs;
    }

    boolean isReachable() {
        return fault != PoolLoad.Fault.CRASHED;
    }

    StartResult start(PoolEffect.Start order, PoolArrival job) {
        if (free < job.job().milliCores()) {
            return StartResult.NO_ROOM;
        }
        double factor = fault == PoolLoad.Fault.SLOW ? FAULT_DURATION_FACTOR * durationFactor : durationFactor;
        long tookMs = Math.max(1, Math.round(job.workMs() * factor));
        Run run = new Run(job.job().milliCores(), time.nowMs(), time.nowMs() + tookMs);
        running.put(order.run(), run);
        free -= run.milliCores();
        boolean fails = fault == PoolLoad.Fault.FAILING;
        time.scheduleAfter(fails ? 1 : tookMs, () -> {
            if (running.get(order.run()) == run) {
                end(order.run(), fails ? RunEnd.Cause.FAILED : RunEnd.Cause.DONE);
            }
        });
        return StartResult.STARTED;
    }

    void stop(RunId run) {
        if (running.containsKey(run)) {
            end(run, RunEnd.Cause.INTERRUPTED);
        }
    }

    /** Ends all runs without a word, as a power cut does. */
    void crash() {
        running.values().forEach(r -> {
            wastedMs += time.nowMs() - r.sinceMs();
            free += r.milliCores();
        });
        running.clear();
    }

    private void end(RunId id, RunEnd.Cause cause) {
        Run run = running.remove(id);
        free += run.milliCores();
        wastedMs += cause == RunEnd.Cause.DONE ? 0 : time.nowMs() - run.sinceMs();
        ends.add(new RunEnd(++lastEnd, id, cause));
        List<Consumer<LeaseRenewalResult>> told = List.copyOf(waiters);
        waiters.clear();
        told.forEach(w -> w.accept(held()));
    }

    void renewLeases(PoolEffect.RenewLeases call, Consumer<LeaseRenewalResult> reply) {
        ends.removeIf(e -> e.sequence() <= call.acknowledgedSequence());
        if (!ends.isEmpty() || call.waitMs() == 0) {
            reply.accept(held());
            return;
        }
        waiters.add(reply);
        time.scheduleAfter(call.waitMs(), () -> {
            if (waiters.remove(reply)) {
                reply.accept(held());
            }
        });
    }

    private LeaseRenewalResult held() {
        long now = time.nowMs();
        List<RunProgress> list = new ArrayList<>();
        running.forEach((id, r) -> list.add(
                new RunProgress(id, (int) (PERCENT * (now - r.sinceMs()) / Math.max(1, r.untilMs() - r.sinceMs())))));
        return new LeaseRenewalResult.Held(now, 1, list, List.copyOf(ends));
    }
}
