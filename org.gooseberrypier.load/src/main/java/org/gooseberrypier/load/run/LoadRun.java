package org.gooseberrypier.load.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.load.check.GuaranteeCheck;
import org.gooseberrypier.load.check.JobRecord;
import org.gooseberrypier.load.client.JobClient;
import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.client.JobTask;
import org.gooseberrypier.load.client.SubmitCommand;
import org.gooseberrypier.load.cluster.LoopbackCluster;
import org.gooseberrypier.load.workload.JobPlan;

/**
 * Submits each job at its planned time, independently of the outcomes of earlier jobs.
 *
 * <p>Response times are measured from the planned arrival, so that they include delays of the load tool itself.
 */
public final class LoadRun {

    private static final double NANOS_PER_MS = 1e6;

    private final List<JobPlan> jobs;
    private final List<JobClient> clients = new ArrayList<>();
    private final IntConsumer onEnded;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("load-timer"));
    private long beginNanos;
    private int endedCount;

    /**
     * Creates a run.
     *
     * @param cluster the cluster to submit to
     * @param zones the home zones that callers name
     * @param jobs the jobs
     * @param attemptTimeoutMs the timeout after which a job with an idempotency key is submitted again, in milliseconds
     * @param onEnded receives the number of jobs that have ended, after each end
     */
    public LoadRun(
            LoopbackCluster cluster,
            List<String> zones,
            List<JobPlan> jobs,
            long attemptTimeoutMs,
            IntConsumer onEnded) {
        this.jobs = jobs;
        this.onEnded = onEnded;
        HttpClient http = cluster.http();
        for (String zone : zones) {
            clients.add(JobClient.builder(http, cluster::callerAddresses)
                    .homeZone(zone)
                    .attemptTimeoutMs(attemptTimeoutMs)
                    .build());
        }
    }

    /**
     * Submits all jobs and waits for every outcome.
     *
     * @return the jobs and their outcomes, in the order of arrival
     */
    public List<JobRecord> call() {
        beginNanos = System.nanoTime();
        List<CompletableFuture<JobRecord>> records = new ArrayList<>();
        for (int i = 0; i < jobs.size(); i++) {
            JobPlan plan = jobs.get(i);
            JobClient client = clients.get(i % clients.size());
            CompletableFuture<JobRecord> record = new CompletableFuture<>();
            records.add(record);
            timer.schedule(() -> submit(plan, client, record), plan.arrivalMicros(), TimeUnit.MICROSECONDS);
        }
        List<JobRecord> all = new ArrayList<>();
        records.forEach(r -> all.add(r.join()));
        timer.shutdown();
        return all;
    }

    private void submit(JobPlan plan, JobClient client, CompletableFuture<JobRecord> record) {
        String key = plan.keyed() ? client.newKey() : null;
        List<CompletableFuture<JobOutcome>> outcomes = new ArrayList<>();
        outcomes.add(command(plan, client, key).call());
        if (plan.duplicated()) {
            outcomes.add(command(plan, client, key).call());
        }
        plan.cancelAfterMs()
                .ifPresent(ms ->
                        timer.schedule(() -> client.cancel(plan.service().team(), key), ms, TimeUnit.MILLISECONDS));
        CompletableFuture<?>[] submissions = outcomes.toArray(new CompletableFuture<?>[0]);
        CompletableFuture<Double> response =
                CompletableFuture.anyOf(submissions).thenApply(o -> responseMs(plan));
        CompletableFuture.allOf(submissions).thenCombine(response, (v, responseMs) -> {
            List<JobOutcome> values =
                    outcomes.stream().map(CompletableFuture::join).toList();
            countEnded();
            return record.complete(new JobRecord(plan, values, responseMs));
        });
    }

    private static SubmitCommand command(JobPlan plan, JobClient client, String key) {
        SubmitCommand command = client.submit()
                .team(plan.service().team())
                .work(plan.work())
                .key(key)
                .repeatable(plan.repeatable())
                .deadlineMs(plan.deadlineMs());
        for (int i = 0; i < plan.tasks().size(); i++) {
            String body = plan.body(i).format();
            command.task(new JobTask(
                    GuaranteeCheck.taskId(i), body, plan.tasks().get(i).declaredMs()));
        }
        return command;
    }

    private double responseMs(JobPlan plan) {
        return (System.nanoTime() - beginNanos) / NANOS_PER_MS - plan.arrivalMs();
    }

    private synchronized void countEnded() {
        onEnded.accept(++endedCount);
    }
}
