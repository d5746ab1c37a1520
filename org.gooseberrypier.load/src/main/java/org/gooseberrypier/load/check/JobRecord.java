package org.gooseberrypier.load.check;

import java.util.List;

import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.workload.JobPlan;

/**
 * A job and what its caller got.
 *
 * @param plan the job
 * @param outcomes the outcome of each submission; one unless the job was submitted to two VMs
 * @param responseMs from the intended arrival to the first outcome, in milliseconds
 */
public record JobRecord(JobPlan plan, List<JobOutcome> outcomes, double responseMs) {

    /** Freezes the list. */
    public JobRecord {
        outcomes = List.copyOf(outcomes);
    }

    /**
     * Returns the best outcome that the caller got.
     *
     * @return complete if any submission was answered so, else the first outcome
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
