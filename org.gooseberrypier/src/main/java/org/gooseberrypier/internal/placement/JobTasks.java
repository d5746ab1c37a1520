package org.gooseberrypier.internal.placement;

import java.util.ArrayDeque;

import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.internal.board.Job;
import org.gooseberrypier.internal.engine.Timer;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TaskSpec;

/** Tracks the states of the tasks of one admitted job until each of them has ended. */
final class JobTasks {

    private static final byte WAITING = 0;
    private static final byte BACKING_OFF = 1;
    private static final byte RUNNING = 2;
    private static final byte ENDED = 3;

    private final Job job;
    private final TeamQueue queue;
    private final double expectedTaskMs;
    private final double virtualFinishMs;
    private final byte[] states;
    private final long[] attemptIds;
    private final ArrayDeque<Integer> requeued = new ArrayDeque<>(0);
    private TaskReply[] earlierReplies;
    private int[] retries;
    private int nextUnstarted;
    private int waiting;
    private int endedCount;
    private Reason withdrawalReason;
    private boolean queued;
    private Timer deadlineTimer;

    JobTasks(Job job, TeamQueue queue, double expectedTaskMs, double virtualFinishMs) {
        this.job = job;
        this.queue = queue;
        this.expectedTaskMs = expectedTaskMs;
        this.virtualFinishMs = virtualFinishMs;
        states = new byte[job.submission().tasks().size()];
        attemptIds = new long[states.length];
        waiting = states.length;
    }

    Job job() {
        return job;
    }

    TeamQueue queue() {
        return queue;
    }

    /** Returns the run time in milliseconds that was expected for one task when the job was admitted. */
    double expectedTaskMs() {
        return expectedTaskMs;
    }

    double virtualFinishMs() {
        return virtualFinishMs;
    }

    TaskSpec spec(int index) {
        return job.submission().tasks().get(index);
    }

    int size() {
        return states.length;
    }

    int waiting() {
        return waiting;
    }

    boolean isQueued() {
        return queued;
    }

    void setQueued(boolean value) {
        queued = value;
    }

    void setDeadline(Timer value) {
        deadlineTimer = value;
    }

    boolean isWithdrawn() {
        return withdrawalReason != null;
    }

    void withdraw(Reason reason) {
        withdrawalReason = reason;
    }

    boolean isEnded() {
        return endedCount == states.length;
    }

    /** Returns the index of the task to start next; at least one task must be waiting. */
    int peek() {
        return requeued.isEmpty() ? nextUnstarted : requeued.peek();
    }

    void start(int index, long attempt) {
        if (withdrawalReason != null || states[index] != WAITING) {
            throw new InvariantViolationException("job " + job.id() + " task " + index + ": cannot start in state "
                    + states[index] + ", withdrawal reason " + withdrawalReason);
        }
        if (requeued.isEmpty()) {
            nextUnstarted++;
        } else {
            requeued.poll();
        }
        waiting--;
        states[index] = RUNNING;
        attemptIds[index] = attempt;
    }

    void backOff(int index) {
        changeState(index, RUNNING, BACKING_OFF);
    }

    void requeue(int index) {
        changeState(index, BACKING_OFF, WAITING);
        requeued.add(index);
        waiting++;
    }

    /**
     * Ends a task and returns the reply to report. If the last attempt was not started but an earlier one may have run,
     * the reply of the earlier attempt is reported.
     */
    TaskReply end(int index, TaskReply reply) {
        if (states[index] == ENDED) {
            throw new InvariantViolationException("job " + job.id() + " task " + index + " has already ended");
        }
        if (states[index] == WAITING) {
            waiting--;
        }
        states[index] = ENDED;
        endedCount++;
        if (isEnded() && deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        boolean ranBefore = earlierReplies != null && earlierReplies[index] != null;
        return reply instanceof TaskReply.NotStarted && ranBefore ? earlierReplies[index] : reply;
    }

    boolean isRunning(int index) {
        return states[index] == RUNNING;
    }

    boolean isBackingOff(int index) {
        return states[index] == BACKING_OFF;
    }

    boolean isNotEnded(int index) {
        return states[index] != ENDED;
    }

    long attemptId(int index) {
        return attemptIds[index];
    }

    /** Returns how often the task was retried. */
    int retries(int index) {
        return retries == null ? 0 : retries[index];
    }

    void addRetry(int index) {
        if (retries == null) {
            retries = new int[states.length];
        }
        retries[index]++;
    }

    /** Stores the reply of an attempt that may have run, before the task is retried. */
    void setEarlierReply(int index, TaskReply reply) {
        if (earlierReplies == null) {
            earlierReplies = new TaskReply[states.length];
        }
        earlierReplies[index] = reply;
    }

    boolean mayHaveRun(int index) {
        return earlierReplies != null && earlierReplies[index] != null;
    }

    private void changeState(int index, byte from, byte to) {
        if (states[index] != from) {
            throw new InvariantViolationException(
                    "job " + job.id() + " task " + index + ": found state " + states[index] + ", expected " + from);
        }
        states[index] = to;
    }
}
