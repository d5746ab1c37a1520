package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulated endpoint in virtual time that follows the platform's description; each of its guards can be disabled. */
final class SimulatedEndpoint {

    private static final long MAX_LEASE_MS = 1_000;
    private static final long STOP_DELAY_MS = 20;

    final String id;
    final Map<RunId, Long> running = new HashMap<>();
    PoolEndpoint registration;
    boolean alive = true;
    /** Whether its machine refuses connections while the endpoint is not alive; otherwise they get no answer. */
    boolean refuses;
    /** Whether the endpoint is listed in the store while it reaches the store. */
    boolean listed = true;

    /** When its registration in the store expires without another heartbeat, in milliseconds. */
    long listedUntilMs;

    boolean checksToken = true;
    boolean checksDeadline = true;
    boolean enforcesLease = true;
    boolean remembersStops = true;
    double slowness = 1;
    private final PoolSimulation simulation;
    private final long clockOffsetMs;
    private final Map<RunId, Long> startTimes = new HashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<RunEnd> ends = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long incarnation;
    private long token;
    private long leaseUntilMs;
    private long lastEnd;

    private record Waiter(long untilMs, java.util.function.Consumer<LeaseRenewalResult> reply) {}

    SimulatedEndpoint(PoolSimulation simulation, String id, String zone, long clockOffsetMs) {
        this.simulation = simulation;
        this.id = id;
        this.clockOffsetMs = clockOffsetMs;
        this.registration = new PoolEndpoint(id, id + ":1", zone, "service", List.of("a", "r1"), 16_000, 65_536, false);
        this.incarnation = 1;
    }

    long clockMs() {
        return simulation.nowMs() + clockOffsetMs;
    }

    long incarnation() {
        return incarnation;
    }

    void crash() {
        alive = false;
        running.clear();
        startTimes.clear();
        ends.clear();
        waiters.forEach(w -> w.reply().accept(new LeaseRenewalResult.Unanswered("connection reset")));
        waiters.clear();
        highestEnded.clear();
        token = 0;
        leaseUntilMs = 0;
        lastEnd = 0;
    }

    void restart() {
        alive = true;
        incarnation++;
    }

    StartResult start(PoolEffect.Start order) {
        if (checksToken && order.token() < token) {
            return StartResult.FENCED;
        }
        token = Math.max(token, order.token());
        extend(order.deadlineMs());
        RunId run = order.run();
        if (running.containsKey(run)) {
            return StartResult.STARTED;
        }
        if (run.attempt() <= highestEnded.getOrDefault(task(run), 0) || isTaskRunning(run)) {
            return StartResult.SUPERSEDED;
        }
        if (checksDeadline && order.deadlineMs() <= clockMs()) {
            return StartResult.LATE;
        }
        if (running.size() >= 2) {
            return StartResult.NO_ROOM;
        }
        simulation.onStart(this, run);
        long durationMs = (long) (Long.parseLong(order.payload()) * slowness);
        running.put(run, simulation.nowMs() + durationMs);
        startTimes.put(run, simulation.nowMs());
        return StartResult.STARTED;
    }

    boolean stop(PoolEffect.Stop order) {
        if (checksToken && order.token() < token) {
            return false;
        }
        token = Math.max(token, order.token());
        if (remembersStops) {
            highestEnded.merge(task(order.run()), order.run().attempt(), Math::max);
        }
        if (running.containsKey(order.run())) {
            simulation.after(STOP_DELAY_MS, () -> end(order.run(), RunEnd.Cause.INTERRUPTED));
        }
        return true;
    }

    void hold(PoolEffect.RenewLeases call, java.util.function.Consumer<LeaseRenewalResult> reply) {
        if (checksToken && call.token() < token) {
            reply.accept(new LeaseRenewalResult.Rejected(LeaseRenewalResult.Rejection.FENCED));
            return;
        }
        token = Math.max(token, call.token());
        if (call.deadlineMs() != PoolEffect.RenewLeases.NO_DEADLINE) {
            extend(call.deadlineMs());
        }
        ends.removeIf(e -> e.sequence() <= call.acknowledgedSequence());
        if (!ends.isEmpty() || call.waitMs() == 0) {
            reply.accept(listRuns());
        } else {
            waiters.add(new Waiter(simulation.nowMs() + call.waitMs(), reply));
        }
    }

    private void extend(long deadlineMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, clockMs() + MAX_LEASE_MS));
    }

    private LeaseRenewalResult listRuns() {
        List<RunProgress> list = new ArrayList<>();
        running.forEach((run, until) -> {
            long startedAtMs = startTimes.get(run);
            long total = Math.max(1, until - startedAtMs);
            list.add(new RunProgress(run, (int) Math.min(99, 100 * (simulation.nowMs() - startedAtMs) / total)));
        });
        return new LeaseRenewalResult.Held(clockMs(), incarnation, list, ends);
    }

    /** Ends runs that are done or whose lease has expired, and answers the calls that wait for an end. */
    void advance() {
        for (Map.Entry<RunId, Long> r : List.copyOf(running.entrySet())) {
            if (simulation.nowMs() >= r.getValue()) {
                end(r.getKey(), RunEnd.Cause.DONE);
            } else if (enforcesLease && clockMs() > leaseUntilMs) {
                end(r.getKey(), RunEnd.Cause.INTERRUPTED);
            }
        }
        for (Waiter w : List.copyOf(waiters)) {
            if (!ends.isEmpty() || simulation.nowMs() >= w.untilMs()) {
                waiters.remove(w);
                w.reply().accept(listRuns());
            }
        }
    }

    private void end(RunId run, RunEnd.Cause cause) {
        if (alive && running.remove(run) != null) {
            startTimes.remove(run);
            highestEnded.merge(task(run), run.attempt(), Math::max);
            ends.add(new RunEnd(++lastEnd, run, cause));
        }
    }

    boolean isTaskRunning(RunId run) {
        return running.keySet().stream().anyMatch(r -> task(r).equals(task(run)));
    }

    private static String task(RunId run) {
        return run.job() + "/" + run.task();
    }
}
