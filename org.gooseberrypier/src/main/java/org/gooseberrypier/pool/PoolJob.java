package org.gooseberrypier.pool;

import java.util.Objects;

/**
 * Job of equal tasks, as submitted by its caller.
 *
 * @param id the caller's identifier, which stays the same when the job is submitted again
 * @param queue the name of the queue to which it was submitted
 * @param service the service whose endpoints run its tasks
 * @param payload the input of each task
 * @param tasks the number of tasks, at least 1
 * @param milliCores the processor demand of one task, in thousandths of a core
 * @param memoryMb the memory demand of one task, in megabytes
 * @param estimateMs the caller's rough estimate of one task's duration, in milliseconds
 * @param priority the priority of the queue, 0 is the highest
 * @param maxFailures the number of failures of one task after which the job fails
 * @param stretch the factor on a task's estimated duration in the response-time objective
 * @param targetLatencyMs the constant term of the response-time objective, in milliseconds
 * @param preferredRack the rack that holds the data of the job, or an empty text
 * @param requiredLabel the label that an endpoint must have, or an empty text
 */
public record PoolJob(
        String id,
        String queue,
        String service,
        String payload,
        int tasks,
        long milliCores,
        long memoryMb,
        long estimateMs,
        int priority,
        int maxFailures,
        double stretch,
        long targetLatencyMs,
        String preferredRack,
        String requiredLabel) {

    /** Checks that no text is null and that the job has at least one task. */
    public PoolJob {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(preferredRack, "preferredRack");
        Objects.requireNonNull(requiredLabel, "requiredLabel");
        if (tasks < 1) {
            throw new IllegalArgumentException("job must have at least one task, got " + tasks);
        }
    }
}
