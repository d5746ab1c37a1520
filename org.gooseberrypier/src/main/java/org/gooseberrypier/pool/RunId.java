package org.gooseberrypier.pool;

/**
 * Identifier of a run, which is one attempt to execute a task. It is written as JOB.OCCURRENCE.STEP.TASK#ATTEMPT, so that a search
 * for the name of the task finds it; a job has one occurrence and one step, both numbered 0.
 *
 * @param job the identifier of the job
 * @param task the index of the task within the job, from 0
 * @param attempt the number of the attempt, from 1; later attempts have higher numbers
 */
public record RunId(String job, int task, int attempt) {

    @Override
    public String toString() {
        return job + ".0.0." + task + "#" + attempt;
    }
}
