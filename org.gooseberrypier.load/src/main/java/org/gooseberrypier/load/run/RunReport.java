package org.gooseberrypier.load.run;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.gooseberrypier.load.check.GuaranteeCheck;
import org.gooseberrypier.load.check.JobRecord;
import org.gooseberrypier.load.check.StartTracker;
import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.cluster.ClusterPlan;
import org.gooseberrypier.load.reference.ReferenceQueue;
import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.standin.endpoint.EndpointListener.Waste;
import org.gooseberrypier.standin.endpoint.TaskStart;

/** Results of one run or of several runs of the same kind. */
public final class RunReport {

    /** Jobs that arrive within this time are checked, but their response times are not recorded. */
    static final long WARM_UP_MS = 2_000;

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<JobOutcome.Kind, Long> outcomes = new EnumMap<>(JobOutcome.Kind.class);
    private final RatioHistogram responseOverIdeal = new RatioHistogram();
    private final RatioHistogram responseOverOwnIdeal = new RatioHistogram();
    private final RatioHistogram referenceOverIdeal = new RatioHistogram();
    private final Histogram refusalMs = new Histogram(SIGNIFICANT_DIGITS);
    private GuaranteeCheck guarantees = new GuaranteeCheck(0, 0, 0, 0);
    private WasteCount waste = WasteCount.NONE;
    private MetricsIncrease metrics = MetricsIncrease.NONE;
    private long jobs;
    private long tasks;
    private long starts;
    private long failedStarts;
    private long accepted;
    private long inTime;

    /**
     * Adds a run that has ended; no job may be in flight any more.
     *
     * @param records the jobs and their outcomes
     * @param tracker the starts that the endpoints recorded
     * @param plan the VMs and endpoints of the run
     * @param startMs the start of the arrivals, in milliseconds since the epoch
     */
    public void add(List<JobRecord> records, StartTracker tracker, ClusterPlan plan, long startMs) {
        guarantees = guarantees.plus(GuaranteeCheck.of(records, tracker));
        starts += tracker.startCount();
        failedStarts += tracker.failedStartsFrom(startMs + WARM_UP_MS);
        waste = waste.plus(new WasteCount(
                tracker.extraStarts(false),
                tracker.refused(),
                tracker.extraStarts(true),
                tracker.wasted(Waste.CALLER_DISCONNECTED),
                tracker.wasted(Waste.PAST_DEADLINE)));
        List<JobPlan> plans = records.stream().map(JobRecord::plan).toList();
        List<Double> referenceResponses = new ReferenceQueue(plan.slotSpeeds()).run(plans);
        for (int i = 0; i < records.size(); i++) {
            add(records.get(i), referenceResponses.get(i), tracker);
        }
    }

    private void add(JobRecord r, double referenceMs, StartTracker tracker) {
        JobOutcome.Kind kind = r.bestOutcome().kind();
        jobs++;
        tasks += r.plan().tasks().size();
        outcomes.merge(kind, 1L, Long::sum);
        if (kind == JobOutcome.Kind.NOT_RUN) {
            refusalMs.recordValue(Math.max(0, Math.round(r.responseMs())));
        } else {
            accepted++;
            inTime += kind == JobOutcome.Kind.COMPLETE
                            && r.responseMs() <= r.plan().deadlineMs()
                    ? 1
                    : 0;
        }
        if (r.plan().arrivalMs() < WARM_UP_MS) {
            return;
        }
        referenceOverIdeal.record(referenceMs / r.plan().idealMs());
        if (kind == JobOutcome.Kind.COMPLETE) {
            responseOverIdeal.record(r.responseMs() / r.plan().idealMs());
            responseOverOwnIdeal.record(r.responseMs() / ownIdealMs(r, tracker));
        }
    }

    private static double ownIdealMs(JobRecord r, StartTracker tracker) {
        double longest = 1;
        for (List<TaskStart> task : tracker.starts(r.plan().id())) {
            longest = Math.max(longest, task.get(task.size() - 1).durationMs());
        }
        return longest;
    }

    /**
     * Adds the increase of the metrics of the VMs in a run.
     *
     * @param value the increase
     */
    public void add(MetricsIncrease value) {
        metrics = metrics.plus(value);
    }

    /**
     * Returns the violations of the guarantees.
     *
     * @return the numbers of violations
     */
    public GuaranteeCheck guarantees() {
        return guarantees;
    }

    /**
     * Returns the number of jobs with an outcome.
     *
     * @param kind the outcome
     * @return the number of jobs
     */
    public long outcomes(JobOutcome.Kind kind) {
        return outcomes.getOrDefault(kind, 0L);
    }

    /**
     * Returns the ratios of response time to ideal response time.
     *
     * @return the histogram
     */
    public RatioHistogram responseOverIdeal() {
        return responseOverIdeal;
    }

    /**
     * Returns the ratios of response time to the run time of the longest task on the endpoint that ran it.
     *
     * @return the histogram
     */
    public RatioHistogram responseOverOwnIdeal() {
        return responseOverOwnIdeal;
    }

    /**
     * Returns the ratios of the response time in the reference queue to the ideal response time.
     *
     * @return the histogram
     */
    public RatioHistogram referenceOverIdeal() {
        return referenceOverIdeal;
    }

    long jobs() {
        return jobs;
    }

    long tasks() {
        return tasks;
    }

    long starts() {
        return starts;
    }

    long failedStarts() {
        return failedStarts;
    }

    Histogram refusalMs() {
        return refusalMs;
    }

    WasteCount waste() {
        return waste;
    }

    MetricsIncrease metrics() {
        return metrics;
    }

    double inTimeShare() {
        return accepted == 0 ? 1 : (double) inTime / accepted;
    }
}
