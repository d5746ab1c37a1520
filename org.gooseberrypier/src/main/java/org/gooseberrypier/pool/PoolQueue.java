package org.gooseberrypier.pool;

/**
 * A queue that callers submit jobs to.
 *
 * @param name its name
 * @param host the host that callers name
 * @param pathPrefix what the path begins with
 * @param service the service whose endpoints run its tasks
 * @param priority its priority, 0 first
 * @param maxFailures after how many failures of one task a job has failed
 * @param stretch the factor on a task's duration that the response-time objective allows
 * @param targetLatencyMs the time that the objective adds to that, in milliseconds
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
