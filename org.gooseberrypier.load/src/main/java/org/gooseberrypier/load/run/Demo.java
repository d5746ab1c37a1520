package org.gooseberrypier.load.run;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.gooseberrypier.load.check.JobRecord;
import org.gooseberrypier.load.check.StartTracker;
import org.gooseberrypier.load.cluster.ClusterPlan;
import org.gooseberrypier.load.cluster.LoopbackCluster;
import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.load.workload.Workload;
import org.gooseberrypier.load.workload.WorkloadShape;

/**
 * Runs a demonstration of the whole system and checks its guarantees.
 *
 * <p>Both services submit jobs while two operators publish conflicting tickets, an endpoint leaves and an entry VM is
 * replaced. Some jobs are submitted to two VMs and some are cancelled.
 */
public final class Demo {

    private static final long TICKET_TIMEOUT_MS = 20_000;
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final long STOP_TIMEOUT_MS = 60_000;
    private static final long ATTEMPT_TIMEOUT_MS = 5_000;
    private static final long LEAVING_GRACE_MS = 2_000;
    private static final int LEAVING_ENDPOINT_INDEX = 3;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double CONCURRENT_TICKETS_AT = 0.25;
    private static final double ENDPOINT_LEAVES_AT = 0.4;
    private static final double VM_REPLACED_AT = 0.5;

    private final ClusterPlan plan;
    private final double seconds;
    private final long seed;
    private final Progress progress;
    private final StartTracker tracker = new StartTracker();

    /**
     * Creates a demonstration.
     *
     * @param plan the VMs and endpoints
     * @param seconds the time in which jobs arrive, in seconds
     * @param seed the seed of the arrivals
     * @param progress the progress display
     */
    public Demo(ClusterPlan plan, double seconds, long seed, Progress progress) {
        this.plan = plan;
        this.seconds = seconds;
        this.seed = seed;
        this.progress = progress;
    }

    /**
     * Runs the demonstration.
     *
     * @return the results
     * @throws TimeoutException if a ticket does not come into force or tasks still run after the last answer
     * @throws InterruptedException if the thread is interrupted
     */
    public DemoResult call() throws TimeoutException, InterruptedException {
        List<JobPlan> jobs = Workload.create(workloadShape(), plan.capacity(), seconds, seed);
        try (LoopbackCluster cluster = LoopbackCluster.open(plan, tracker)) {
            long ticketMs = cluster.awaitInForce(cluster.publish("operator-1", "first ticket"), TICKET_TIMEOUT_MS);
            progress.printLine("event=ticket_in_force vms=" + plan.vms() + " tookMs=" + ticketMs);
            var before = cluster.metrics();
            long startMs = System.currentTimeMillis();
            CompletableFuture<List<JobRecord>> load = CompletableFuture.supplyAsync(() -> submit(cluster, jobs));
            Changes changes = applyChanges(cluster, startMs);
            List<JobRecord> records = join(load);
            if (!cluster.awaitIdle(IDLE_TIMEOUT_MS)) {
                throw new TimeoutException("tasks still run " + IDLE_TIMEOUT_MS + " ms after the last answer");
            }
            RunReport report = new RunReport();
            report.add(records, tracker, plan, startMs);
            double elapsed = (System.currentTimeMillis() - startMs) / MILLIS_PER_SECOND;
            report.add(MetricsIncrease.between(before, cluster.metrics(), elapsed * plan.vms()));
            return new DemoResult(
                    report,
                    ticketMs,
                    changes.raceMs,
                    changes.winners,
                    changes.replacementMs,
                    changes.graceful,
                    tracker.startsFrom(
                            cluster.endpointName(LEAVING_ENDPOINT_INDEX), changes.leftAtMs + LEAVING_GRACE_MS));
        }
    }

    private Changes applyChanges(LoopbackCluster cluster, long startMs) throws TimeoutException, InterruptedException {
        Changes changes = new Changes();
        sleepUntil(startMs, CONCURRENT_TICKETS_AT);
        changes.raceMs = cluster.awaitInForce(cluster.publishConcurrently(), TICKET_TIMEOUT_MS);
        changes.winners = cluster.countDistinctTickets();
        progress.printLine("event=race_decided winners=" + changes.winners + " tookMs=" + changes.raceMs);
        sleepUntil(startMs, ENDPOINT_LEAVES_AT);
        cluster.setLeaving(LEAVING_ENDPOINT_INDEX);
        changes.leftAtMs = System.currentTimeMillis();
        cluster.publish("operator-1", "an endpoint leaves");
        progress.printLine("event=endpoint_leaving endpoint=" + cluster.endpointName(LEAVING_ENDPOINT_INDEX));
        sleepUntil(startMs, VM_REPLACED_AT);
        replace(cluster, changes);
        return changes;
    }

    private void replace(LoopbackCluster cluster, Changes changes) throws TimeoutException, InterruptedException {
        String zone = plan.zones().get(0);
        String retired = cluster.vmNames().stream()
                .filter(n -> n.startsWith(zone))
                .findFirst()
                .orElseThrow();
        cluster.addVm(zone + "-replacement", zone);
        long number = cluster.publish("operator-1", "a VM joins");
        changes.replacementMs = cluster.awaitInForce(number, TICKET_TIMEOUT_MS);
        progress.printLine("event=vm_joined tookMs=" + changes.replacementMs);
        changes.graceful = cluster.retire(retired, STOP_TIMEOUT_MS);
        progress.printLine("event=vm_retired vm=" + retired + " graceful=" + changes.graceful);
    }

    private List<JobRecord> submit(LoopbackCluster cluster, List<JobPlan> jobs) {
        return new LoadRun(
                        cluster, plan.zones(), jobs, ATTEMPT_TIMEOUT_MS, n -> progress.update("jobs", n, jobs.size()))
                .call();
    }

    private void sleepUntil(long startMs, double atFraction) throws InterruptedException {
        long untilMs = startMs + Math.round(atFraction * seconds * MILLIS_PER_SECOND);
        TimeUnit.MILLISECONDS.sleep(Math.max(0, untilMs - System.currentTimeMillis()));
    }

    private static WorkloadShape workloadShape() {
        return WorkloadShape.builder(0.5)
                .keyedShare(0.5)
                .repeatableShare(0.1)
                .duplicatedShare(0.05)
                .cancelledShare(0.05)
                .build();
    }

    private static List<JobRecord> join(CompletableFuture<List<JobRecord>> load) {
        try {
            return load.join();
        } catch (CompletionException e) {
            throw new IllegalStateException("submitting the jobs failed", e.getCause());
        }
    }

    private static final class Changes {
        private long raceMs;
        private long winners;
        private long leftAtMs;
        private long replacementMs;
        private boolean graceful;
    }
}
