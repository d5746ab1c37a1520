package org.gooseberrypier.load.run;

import java.util.List;

import org.gooseberrypier.load.workload.WorkloadShape;

/**
 * A workload and the faults that are injected while it runs.
 *
 * @param name its name on the command line
 * @param unequal whether endpoints differ in speed
 * @param shape the properties of the jobs
 * @param attemptTimeoutMs the timeout after which callers submit a job with an idempotency key again, in milliseconds
 * @param faults the faults and their repairs
 */
public record Scenario(String name, boolean unequal, WorkloadShape shape, long attemptTimeoutMs, List<Fault> faults) {

    /** Copies the list. */
    public Scenario {
        faults = List.copyOf(faults);
    }
}
