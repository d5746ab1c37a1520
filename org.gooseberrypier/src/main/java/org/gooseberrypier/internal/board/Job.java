package org.gooseberrypier.internal.board;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TaskResult;

/** One job on the VM that runs it: its submission, its waiters and the ends of its tasks. */
public final class Job {

    private final JobId id;
    private final Submission submission;
    private final long deadlineAtMs;
    private final Payload[] results;
    private final boolean[] taskEnded;
    private final Set<Waiter> waiters = new LinkedHashSet<>();
    private boolean admitted;
    private Reason withdrawn;
    private int endedTasks;
    private int startedTasks;
    private TaskReply decisiveReply;
    private Answer answer;

    /**
     * Creates a job.
     *
     * @param id the identity of the job
     * @param submission the submission
     * @param deadlineAtMs the deadline of the answer, in milliseconds since the epoch
     */
    public Job(JobId id, Submission submission, long deadlineAtMs) {
        this.id = id;
        this.submission = submission;
        this.deadlineAtMs = deadlineAtMs;
        this.results = new Payload[submission.tasks().size()];
        this.taskEnded = new boolean[results.length];
    }

    /**
     * Returns the identity.
     *
     * @return the identity
     */
    public JobId id() {
        return id;
    }

    /**
     * Returns the submission.
     *
     * @return the submission
     */
    public Submission submission() {
        return submission;
    }

    /**
     * Returns the deadline.
     *
     * @return milliseconds since the epoch
     */
    public long deadlineAtMs() {
        return deadlineAtMs;
    }

    /**
     * Returns the waiters for the answer.
     *
     * @return the waiters; only the controller that owns the section may change the set
     */
    public Set<Waiter> waiters() {
        return waiters;
    }

    /**
     * Tells whether all records that the job requires before its start are stored.
     *
     * @return whether its tasks may start
     */
    public boolean isAdmitted() {
        return admitted;
    }

    /** Marks the job as admitted; its tasks may start. */
    public void setAdmitted() {
        if (admitted) {
            throw new InvariantViolationException("job admitted twice: " + id);
        }
        admitted = true;
    }

    /**
     * Returns why the tasks of the job were withdrawn.
     *
     * @return the reason, empty if the tasks are not withdrawn
     */
    public Optional<Reason> withdrawn() {
        return Optional.ofNullable(withdrawn);
    }

    /**
     * Marks the tasks of the job as withdrawn, because their results are no longer needed.
     *
     * @param reason why
     */
    public void withdraw(Reason reason) {
        withdrawn = reason;
    }

    /**
     * Returns how many tasks have ended.
     *
     * @return the number of tasks
     */
    public int endedTasks() {
        return endedTasks;
    }

    /**
     * Returns how many tasks may have started.
     *
     * @return the number of tasks
     */
    public int startedTasks() {
        return startedTasks;
    }

    /**
     * Returns the reply that determines the answer of an unsuccessful job: the first failure, else the first lost
     * answer, else the first task that was not started.
     *
     * @return the reply, empty if all tasks that have ended were successful
     */
    public Optional<TaskReply> decisiveReply() {
        return Optional.ofNullable(decisiveReply);
    }

    /**
     * Returns the final answer.
     *
     * @return the answer, empty while the job has none
     */
    public Optional<Answer> answer() {
        return Optional.ofNullable(answer);
    }

    /**
     * Sets the final answer.
     *
     * @param value the answer
     */
    public void setAnswer(Answer value) {
        answer = value;
    }

    /**
     * Adds the end of a task.
     *
     * @param index the index of the task in the submission
     * @param reply the reply with which it ended
     */
    public void endTask(int index, TaskReply reply) {
        if (!admitted || taskEnded[index]) {
            throw new InvariantViolationException(
                    "task " + id + ":" + index + " ended twice or before its job was admitted");
        }
        taskEnded[index] = true;
        endedTasks++;
        if (!(reply instanceof TaskReply.NotStarted)) {
            startedTasks++;
        }
        if (reply instanceof TaskReply.Succeeded s) {
            results[index] = s.body();
        } else if (decisiveReply == null || precedence(reply) > precedence(decisiveReply)) {
            decisiveReply = reply;
        }
    }

    /**
     * Tells whether every task has ended.
     *
     * @return whether no reply is missing
     */
    public boolean isEnded() {
        return endedTasks == results.length;
    }

    /**
     * Lists the results of a job whose tasks have all succeeded.
     *
     * @return the results in the order of the tasks
     */
    public List<TaskResult> results() {
        if (!isEnded() || decisiveReply != null) {
            throw new InvariantViolationException("results requested of an incomplete job: " + id);
        }
        List<TaskResult> list = new ArrayList<>(results.length);
        for (int i = 0; i < results.length; i++) {
            list.add(new TaskResult(submission.tasks().get(i).id(), results[i]));
        }
        return list;
    }

    private static int precedence(TaskReply reply) {
        if (reply instanceof TaskReply.Failed) {
            return 2;
        }
        return reply instanceof TaskReply.Lost ? 1 : 0;
    }
}
