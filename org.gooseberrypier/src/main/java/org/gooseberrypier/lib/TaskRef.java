package org.gooseberrypier.lib;

/**
 * Identifies one task of a job.
 *
 * @param job the job
 * @param index the index of the task in its submission, from 0
 */
public record TaskRef(JobId job, int index) {

    @Override
    public String toString() {
        return job + ":" + index;
    }
}
