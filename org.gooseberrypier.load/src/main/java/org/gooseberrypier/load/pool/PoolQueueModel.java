package org.gooseberrypier.load.pool;

import java.util.List;

/**
 * The parameters by which the jobs of one queue are generated.
 *
 * @param name the queue
 * @param jobsPerSecond the mean number of jobs that arrive in a second at the nominal load
 * @param meanTasks the mean number of tasks of a job
 * @param meanWorkMs the mean duration of a task, in milliseconds on an endpoint of speed 1
 * @param payoff the payoff of a job of mean work that is answered within its objective
 */
public record PoolQueueModel(String name, double jobsPerSecond, int meanTasks, long meanWorkMs, double payoff) {

    /** Queues like those in the users' sheets: a few short parallel tasks, a few long tasks, and many small jobs. */
    public static final List<PoolQueueModel> USER_QUEUES = List.of(
            new PoolQueueModel("wide-short", 24.1, 8, 60, 0.0291),
            new PoolQueueModel("long", 4.37, 4, 900, 0.16),
            new PoolQueueModel("narrow", 70, 2, 200, 0.01));

    /** Returns the mean work of a job: the total duration of its tasks, in milliseconds on an endpoint of speed 1. */
    double meanJobWorkMs() {
        return (double) meanTasks * meanWorkMs;
    }
}
