package org.gooseberrypier.pool;

/** Jobs for tests. */
final class PoolJobs {

    private PoolJobs() {}

    /** Returns a job whose tasks each last the given time on an endpoint that holds two of them. */
    static PoolJob job(String id, int tasks, long taskMs) {
        return new PoolJob(
                id, "queue", "service", Long.toString(taskMs), tasks, 6_800, 64, taskMs, 0, 3, 1.6, 60, "", "");
    }

    /** Returns a job that is of use however late it is answered, so that it is never refused for want of time. */
    static PoolJob patientJob(String id, int tasks, long taskMs) {
        return new PoolJob(
                id, "queue", "service", Long.toString(taskMs), tasks, 6_800, 64, taskMs, 0, 3, 1.6, 60_000, "", "");
    }
}
