package org.gooseberrypier.pool;

import java.util.Objects;

/**
 * A job of equal tasks, as its caller submitted it.
 *
 * @param id the caller's identifier, the same when the job is sent again
 * @param queue the queue that it came through
 * @param service the service whose endpoints run it
 * @param payload what each task is given
 * @param tasks how many tasks it has, at least 1
 * @param milliCores processor demand of one task, in thousandths of a core
 * @param memoryMb memory demand of one task, in megabytes
 * @param estimateMs the caller's rough estimate of one task's duration, in milliseconds
 * @param priority the queue's priority, 0 first
 * @param maxFailures after how many failures of one task the job has failed
 * @param stretch the factor on a task's duration that the response-time objective allows
 * @param targetLatencyMs the time that the objective adds to that, in milliseconds
 * @param preferredRack the rack where its data is, or an empty text
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

    /** Checks that the texts are there and the job has a task. */
    public PoolJob {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(preferredRack, "preferredRack");
        Objects.requireNonNull(requiredLabel, "requiredLabel");
        if (tasks < 1) {
            throw new IllegalArgumentException("a job has at least one task: " + tasks);
        }
    }
}
