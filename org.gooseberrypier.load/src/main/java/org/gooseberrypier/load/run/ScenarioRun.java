package org.gooseberrypier.load.run;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.gooseberrypier.load.check.JobRecord;
import org.gooseberrypier.load.check.StartTracker;
import org.gooseberrypier.load.cluster.ClusterPlan;
import org.gooseberrypier.load.cluster.LoopbackCluster;
import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.load.workload.Workload;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one scenario once on a new cluster. */
public final class ScenarioRun {

    private static final Logger LOG = LoggerFactory.getLogger(ScenarioRun.class);
    private static final long TICKET_TIMEOUT_MS = 20_000;
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Scenario scenario;
    private final ClusterPlan plan;
    private final double seconds;
    private final long seed;
    private final Progress progress;

    /**
     * Creates a run.
     *
     * @param scenario the scenario
     * @param plan the VMs and endpoints
     * @param seconds the time in which jobs arrive, in seconds
     * @param seed the seed of the arrivals
     * @param progress the progress display
     */
    public ScenarioRun(Scenario scenario, ClusterPlan plan, double seconds, long seed, Progress progress) {
        this.scenario = scenario;
        this.plan = plan;
        this.seconds = seconds;
        this.seed = seed;
        this.progress = progress;
    }

    /**
     * Runs the scenario and adds its results to a report.
     *
     * @param report the report
     * @throws TimeoutException if the ticket does not come into force or tasks still run after the last answer
     * @throws InterruptedException if the thread is interrupted
     */
    public void call(RunReport report) throws TimeoutException, InterruptedException {
        StartTracker tracker = new StartTracker();
        List<JobPlan> jobs = Workload.create(scenario.shape(), plan.capacity(), seconds, seed);
        try (LoopbackCluster cluster = LoopbackCluster.open(plan, tracker)) {
            cluster.awaitInForce(cluster.publish("bench", scenario.name()), TICKET_TIMEOUT_MS);
            Map<String, Double> before = cluster.metrics();
            long startMs = System.currentTimeMillis();
            List<JobRecord> records = run(cluster, jobs);
            if (!cluster.awaitIdle(IDLE_TIMEOUT_MS)) {
                throw new TimeoutException("tasks still run " + IDLE_TIMEOUT_MS + " ms after the last answer");
            }
            report.add(records, tracker, plan, startMs);
            double elapsed = (System.currentTimeMillis() - startMs) / MILLIS_PER_SECOND;
            report.add(MetricsIncrease.between(before, cluster.metrics(), elapsed * plan.vms()));
        }
    }

    private List<JobRecord> run(LoopbackCluster cluster, List<JobPlan> jobs) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("fault-timer"));
        for (Fault f : scenario.faults()) {
            long atMs = Math.round(f.atFraction() * seconds * MILLIS_PER_SECOND);
            timer.schedule(() -> apply(f, cluster), atMs, TimeUnit.MILLISECONDS);
        }
        try {
            String what = scenario.name() + " " + plan.placement();
            return new LoadRun(
                            cluster,
                            plan.zones(),
                            jobs,
                            scenario.attemptTimeoutMs(),
                            n -> progress.update(what, n, jobs.size()))
                    .call();
        } finally {
            timer.shutdownNow();
        }
    }

    private static void apply(Fault fault, LoopbackCluster cluster) {
        try {
            fault.action().apply(cluster);
        } catch (RuntimeException e) {
            LOG.error("event=fault_injection_failed error=\"{}\"", e.toString(), e);
        }
    }
}
