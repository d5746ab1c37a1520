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

/** One job at its home: what was asked, who waits, and what has come back. */
public final class Job {

    private final JobId id;
    private final Submission submission;
    private final long deadlineAtMs;
    private final Payload[] results;
    private final boolean[] taskEnded;
    private final Set<Waiter> waiters = new LinkedHashSet<>();
    private boolean admitted;
    private Reason withdrawn;
    private int ended;
    private int started;
    private TaskReply firstFailure;
    private Answer answer;

    /**
     * Creates a job.
     *
     * @param id its identity
     * @param submission what was asked
     * @param deadlineAtMs when the answer is of no use any more, in milliseconds since the epoch
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
     * Returns what was asked.
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
     * Returns who waits for the answer.
     *
     * @return the waiters, to be changed by the owner of the section only
     */
    public Set<Waiter> waiters() {
        return waiters;
    }

    /**
     * Tells whether the job holds all records that its start needs.
     *
     * @return whether its tasks may start
     */
    public boolean isAdmitted() {
        return admitted;
    }

    /** Notes that the tasks may start. */
    public void setAdmitted() {
        if (admitted) {
            throw new InvariantViolationException("admitted twice: " + id);
        }
        admitted = true;
    }

    /**
     * Returns why the job needs none of its tasks any more.
     *
     * @return the reason, empty while the tasks are needed
     */
    public Optional<Reason> withdrawn() {
        return Optional.ofNullable(withdrawn);
    }

    /**
     * Notes that the job needs none of its tasks any more.
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
        return ended;
    }

    /**
     * Returns how many tasks may have started.
     *
     * @return the number of tasks
     */
    public int startedTasks() {
        return started;
    }

    /**
     * Returns the end of a task that decides the answer: the first failure, else the first lost answer, else the first
     * task that never started.
     *
     * @return the end, if any
     */
    public Optional<TaskReply> decisiveReply() {
        return Optional.ofNullable(firstFailure);
    }

    /**
     * Returns the answer.
     *
     * @return the answer, if it is there
     */
    public Optional<Answer> answer() {
        return Optional.ofNullable(answer);
    }

    /**
     * Keeps the answer.
     *
     * @param value the answer
     */
    public void setAnswer(Answer value) {
        answer = value;
    }

    /**
     * Notes the end of a task.
     *
     * @param index the place of the task
     * @param reply its end
     */
    public void endTask(int index, TaskReply reply) {
        if (!admitted || taskEnded[index]) {
            throw new InvariantViolationException("task " + id + ":" + index + " ended twice or before its start");
        }
        taskEnded[index] = true;
        ended++;
        if (!(reply instanceof TaskReply.NotStarted)) {
            started++;
        }
        if (reply instanceof TaskReply.Succeeded s) {
            results[index] = s.body();
        } else if (firstFailure == null || rank(reply) > rank(firstFailure)) {
            firstFailure = reply;
        }
    }

    /**
     * Tells whether every task has ended.
     *
     * @return whether nothing is missing
     */
    public boolean isEnded() {
        return ended == results.length;
    }

    /**
     * Lists the results of a job whose tasks all succeeded.
     *
     * @return the results in the order of the tasks
     */
    public List<TaskResult> results() {
        if (!isEnded() || firstFailure != null) {
            throw new InvariantViolationException("results of an incomplete job: " + id);
        }
        List<TaskResult> list = new ArrayList<>(results.length);
        for (int i = 0; i < results.length; i++) {
            list.add(new TaskResult(submission.tasks().get(i).id(), results[i]));
        }
        return list;
    }

    private static int rank(TaskReply reply) {
        if (reply instanceof TaskReply.Failed) {
            return 2;
        }
        return reply instanceof TaskReply.Lost ? 1 : 0;
    }
}
