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

/** What came out of one run or of several runs of the same kind. */
public final class RunReport {

    /** The arrivals of the first seconds are checked but their response times are left out. */
    static final long WARM_UP_MS = 2_000;

    private static final int DIGITS = 3;

    private final Map<JobOutcome.Kind, Long> outcomes = new EnumMap<>(JobOutcome.Kind.class);
    private final RatioHistogram response = new RatioHistogram();
    private final RatioHistogram ownResponse = new RatioHistogram();
    private final RatioHistogram reference = new RatioHistogram();
    private final Histogram refusalMs = new Histogram(DIGITS);
    private GuaranteeCheck promises = new GuaranteeCheck(0, 0, 0, 0);
    private WasteCount waste = WasteCount.NONE;
    private MetricsIncrease cost = MetricsIncrease.NONE;
    private long jobs;
    private long tasks;
    private long starts;
    private long failedStarts;
    private long accepted;
    private long inTime;

    /**
     * Adds a run that has ended, with nothing in flight any more.
     *
     * @param records the jobs and their outcomes
     * @param ledger the starts
     * @param plan what ran
     * @param beganAtMs when the arrivals began, in milliseconds since the epoch
     */
    public void add(List<JobRecord> records, StartTracker ledger, ClusterPlan plan, long beganAtMs) {
        promises = promises.plus(GuaranteeCheck.of(records, ledger));
        starts += ledger.startCount();
        failedStarts += ledger.failedStartsFrom(beganAtMs + WARM_UP_MS);
        waste = waste.plus(new WasteCount(
                ledger.extraStarts(false),
                ledger.refused(),
                ledger.extraStarts(true),
                ledger.wasted(Waste.CALLER_DISCONNECTED),
                ledger.wasted(Waste.PAST_DEADLINE)));
        List<JobPlan> plans = records.stream().map(JobRecord::plan).toList();
        List<Double> ideal = new ReferenceQueue(plan.slotSpeeds()).run(plans);
        for (int i = 0; i < records.size(); i++) {
            add(records.get(i), ideal.get(i), ledger);
        }
    }

    private void add(JobRecord r, double referenceMs, StartTracker ledger) {
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
        reference.record(referenceMs / r.plan().idealMs());
        if (kind == JobOutcome.Kind.COMPLETE) {
            response.record(r.responseMs() / r.plan().idealMs());
            ownResponse.record(r.responseMs() / ownIdealMs(r, ledger));
        }
    }

    private static double ownIdealMs(JobRecord r, StartTracker ledger) {
        double longest = 1;
        for (List<TaskStart> task : ledger.starts(r.plan().id())) {
            longest = Math.max(longest, task.get(task.size() - 1).durationMs());
        }
        return longest;
    }

    /**
     * Adds what the VMs counted in a run.
     *
     * @param value the cost of coordination
     */
    public void add(MetricsIncrease value) {
        cost = cost.plus(value);
    }

    /**
     * Returns how often promises were broken.
     *
     * @return the counts
     */
    public GuaranteeCheck guarantees() {
        return promises;
    }

    /**
     * Returns how many jobs ended in some way.
     *
     * @param kind the outcome
     * @return jobs
     */
    public long outcomes(JobOutcome.Kind kind) {
        return outcomes.getOrDefault(kind, 0L);
    }

    /**
     * Returns the response times over the ideal.
     *
     * @return the histogram
     */
    public RatioHistogram responseOverIdeal() {
        return response;
    }

    /**
     * Returns the response times over the time that the longest task takes on the endpoint that ran it.
     *
     * @return the histogram
     */
    public RatioHistogram responseOverOwnIdeal() {
        return ownResponse;
    }

    /**
     * Returns the response times of the reference queue over the ideal.
     *
     * @return the histogram
     */
    public RatioHistogram referenceOverIdeal() {
        return reference;
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
        return cost;
    }

    double inTimeShare() {
        return accepted == 0 ? 1 : (double) inTime / accepted;
    }
}
