package org.gooseberrypier.effect;

import java.util.Optional;

import org.gooseberrypier.lib.Answer;

/**
 * The status of a keyed job.
 *
 * @param state the state
 * @param tasks the number of its tasks
 * @param ended the number of its tasks that have ended
 * @param answer the answer, empty until the job has one
 */
public record JobStatus(State state, int tasks, int ended, Optional<Answer> answer) {

    /** The states of a job. */
    public enum State {
        /** No VM that could be reached knows the key. */
        NOT_FOUND,
        /** Some tasks are waiting or running. */
        RUNNING,
        /** The job was cancelled or can no longer become complete, and some tasks have not ended. */
        CANCELLING,
        /** The job has its final answer. */
        ENDED
    }
}
