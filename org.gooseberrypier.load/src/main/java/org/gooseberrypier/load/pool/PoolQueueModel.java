package org.gooseberrypier.load.pool;

import java.util.List;

/**
 * What the jobs of one queue are like.
 *
 * @param name the queue
 * @param jobsPerSecond how many jobs arrive in a second at the usual load
 * @param meanTasks the mean of their tasks
 * @param meanWorkMs the mean of a task's work, in milliseconds on an endpoint of speed 1
 * @param payoff the payoff of a job of mean work that is answered within its objective
 */
public record PoolQueueModel(String name, double jobsPerSecond, int meanTasks, long meanWorkMs, double payoff) {

    /** Queues like those on the users' sheets: few short tasks side by side, few long ones, and many small jobs. */
    public static final List<PoolQueueModel> USER_QUEUES = List.of(
            new PoolQueueModel("wide-short", 24.1, 8, 60, 0.0291),
            new PoolQueueModel("long", 4.37, 4, 900, 0.16),
            new PoolQueueModel("narrow", 70, 2, 200, 0.01));

    /** Returns the mean work of a job, in milliseconds of a task. */
    double meanJobWorkMs() {
        return (double) meanTasks * meanWorkMs;
    }
}
