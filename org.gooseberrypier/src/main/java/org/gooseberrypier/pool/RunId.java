package org.gooseberrypier.pool;

/**
 * One attempt to run one task.
 *
 * @param job the job's identifier
 * @param task the task's index within the job, from 0
 * @param attempt the number of the attempt, from 1; a later attempt has a higher number
 */
public record RunId(String job, int task, int attempt) {

    @Override
    public String toString() {
        return job + "/" + task + "#" + attempt;
    }
}
