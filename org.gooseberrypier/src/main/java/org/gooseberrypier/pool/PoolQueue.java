package org.gooseberrypier.pool;

/**
 * Queue to which callers submit jobs.
 *
 * @param name the name
 * @param host the host that callers address
 * @param pathPrefix the prefix of the request paths that belong to the queue
 * @param service the service whose endpoints run its tasks
 * @param priority the priority, 0 is the highest
 * @param maxFailures the number of failures of one task after which a job fails
 * @param stretch the factor on a task's estimated duration in the response-time objective
 * @param targetLatencyMs the constant term of the response-time objective, in milliseconds
 */
public record PoolQueue(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxFailures,
        double stretch,
        long targetLatencyMs) {}
