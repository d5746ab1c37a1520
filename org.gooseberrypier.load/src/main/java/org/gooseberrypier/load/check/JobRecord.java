package org.gooseberrypier.load.check;

import java.util.List;

import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.workload.JobPlan;

/**
 * A submitted job with the outcomes that its caller got.
 *
 * @param plan the job
 * @param outcomes the outcome of each submission; one unless the job was submitted to two VMs
 * @param responseMs the time from the intended arrival to the first outcome, in milliseconds
 */
public record JobRecord(JobPlan plan, List<JobOutcome> outcomes, double responseMs) {

    /** Copies the list. */
    public JobRecord {
        outcomes = List.copyOf(outcomes);
    }

    /**
     * Returns the best outcome that the caller got.
     *
     * @return the first complete outcome if there is one, else the first outcome
     */
    public JobOutcome bestOutcome() {
        for (JobOutcome o : outcomes) {
            if (o.kind() == JobOutcome.Kind.COMPLETE) {
                return o;
            }
        }
        return outcomes.get(0);
    }
}
