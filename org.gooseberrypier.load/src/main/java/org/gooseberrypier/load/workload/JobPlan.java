package org.gooseberrypier.load.workload;

import java.util.List;
import java.util.OptionalLong;

import org.gooseberrypier.standin.endpoint.TaskBody;

/**
 * A generated job that is submitted at a given time of the run.
 *
 * @param id the caller's own name of the job
 * @param arrivalMicros when it arrives, in microseconds from the start of the run
 * @param service the service that submits it
 * @param work the kind of work
 * @param tasks its tasks
 * @param deadlineMs its deadline, in milliseconds from its arrival
 * @param keyed whether it carries an idempotency key
 * @param repeatable whether its tasks may start more than once
 * @param duplicated whether it is submitted to two VMs at the same time
 * @param cancelAfterMs when it is cancelled, in milliseconds from its arrival; empty if it is not cancelled
 */
public record JobPlan(
        String id,
        long arrivalMicros,
        Service service,
        String work,
        List<TaskPlan> tasks,
        long deadlineMs,
        boolean keyed,
        boolean repeatable,
        boolean duplicated,
        OptionalLong cancelAfterMs) {

    private static final double MICROS_PER_MS = 1e3;

    /** Copies the list. */
    public JobPlan {
        tasks = List.copyOf(tasks);
    }

    /**
     * Returns when the job arrives.
     *
     * @return milliseconds from the start of the run
     */
    public double arrivalMs() {
        return arrivalMicros / MICROS_PER_MS;
    }

    /**
     * Returns the body of a task, which contains the name of the job.
     *
     * @param index the index of the task, from 0
     * @return the body
     */
    public TaskBody body(int index) {
        return new TaskBody(tasks.get(index).serviceMs(), id, index, repeatable);
    }

    /**
     * Returns the ideal response time: the duration of the longest task on an endpoint of speed 1, without waiting.
     *
     * @return milliseconds
     */
    public long idealMs() {
        long longest = 1;
        for (TaskPlan t : tasks) {
            longest = Math.max(longest, t.serviceMs());
        }
        return longest;
    }
}
