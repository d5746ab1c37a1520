package org.gooseberrypier.pool;

/** Creates jobs for tests. */
final class PoolJobs {

    private PoolJobs() {}

    /** Returns a job whose tasks take the given time each; an endpoint has room for two of them. */
    static PoolJob job(String id, int tasks, long taskMs) {
        return new PoolJob(
                id, "queue", "service", Long.toString(taskMs), tasks, 6_800, 64, taskMs, 0, 3, 1.6, 60, "", "");
    }

    /** Returns a job with a response-time objective of more than 60 s, so that it is not refused for lack of time. */
    static PoolJob patientJob(String id, int tasks, long taskMs) {
        return new PoolJob(
                id, "queue", "service", Long.toString(taskMs), tasks, 6_800, 64, taskMs, 0, 3, 1.6, 60_000, "", "");
    }
}
