package org.gooseberrypier.lib;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A job of parallel tasks, as submitted by its caller.
 *
 * @param team the team that submits the job
 * @param work the kind of work of all tasks
 * @param deadlineMs the time within which the answer is needed, in milliseconds from the arrival
 * @param repeatable whether a task that may have run may be run again
 * @param key the idempotency key, if the caller sent one
 * @param tasks the tasks in the order of their results
 */
public record Submission(
        TeamId team,
        WorkId work,
        long deadlineMs,
        boolean repeatable,
        Optional<IdempotencyKey> key,
        List<TaskSpec> tasks) {

    /** Checks the components and copies the list. */
    public Submission {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(work, "work");
        Objects.requireNonNull(key, "key");
        tasks = List.copyOf(tasks);
        if (tasks.isEmpty()) {
            throw new IllegalArgumentException("submission without tasks");
        }
        if (deadlineMs <= 0) {
            throw new IllegalArgumentException("deadlineMs must be positive: " + deadlineMs);
        }
    }

    /**
     * Returns the total size of the task bodies.
     *
     * @return the size in bytes
     */
    public long bodyBytes() {
        long sum = 0;
        for (TaskSpec t : tasks) {
            sum += t.body().size();
        }
        return sum;
    }

    /**
     * Returns the same submission with another deadline.
     *
     * @param valueMs the time within which the answer is needed, in milliseconds from the arrival
     * @return the new submission
     */
    public Submission withDeadline(long valueMs) {
        return new Submission(team, work, valueMs, repeatable, key, tasks);
    }
}
