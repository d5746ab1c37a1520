package org.gooseberrypier.internal.placement;

import java.util.ArrayDeque;

import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.internal.board.Job;
import org.gooseberrypier.internal.engine.Timer;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TaskSpec;

/** The tasks of one admitted job, from the queue to their ends. */
final class JobTasks {

    private static final byte WAITING = 0;
    private static final byte PUT_OFF = 1;
    private static final byte RUNNING = 2;
    private static final byte ENDED = 3;

    private final Job job;
    private final TeamQueue queue;
    private final double taskMs;
    private final double virtualFinishMs;
    private final byte[] states;
    private final long[] attempts;
    private final ArrayDeque<Integer> again = new ArrayDeque<>(0);
    private TaskReply[] earlier;
    private int[] tries;
    private int next;
    private int waiting;
    private int ended;
    private Reason withdrawn;
    private boolean queued;
    private Timer deadline;

    JobTasks(Job job, TeamQueue queue, double taskMs, double virtualFinishMs) {
        this.job = job;
        this.queue = queue;
        this.taskMs = taskMs;
        this.virtualFinishMs = virtualFinishMs;
        states = new byte[job.submission().tasks().size()];
        attempts = new long[states.length];
        waiting = states.length;
    }

    Job job() {
        return job;
    }

    TeamQueue queue() {
        return queue;
    }

    /** Returns the expected run time of one task at the admission, in milliseconds. */
    double expectedTaskMs() {
        return taskMs;
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
        deadline = value;
    }

    boolean isWithdrawn() {
        return withdrawn != null;
    }

    void withdraw(Reason reason) {
        withdrawn = reason;
    }

    boolean isEnded() {
        return ended == states.length;
    }

    /** Returns the task that starts next; there must be one that waits. */
    int peek() {
        return again.isEmpty() ? next : again.peek();
    }

    void start(int index, long attempt) {
        if (withdrawn != null || states[index] != WAITING) {
            throw new InvariantViolationException(
                    "job " + job.id() + " task " + index + ": start in state " + states[index] + ", " + withdrawn);
        }
        if (again.isEmpty()) {
            next++;
        } else {
            again.poll();
        }
        waiting--;
        states[index] = RUNNING;
        attempts[index] = attempt;
    }

    void backOff(int index) {
        change(index, RUNNING, PUT_OFF);
    }

    void requeue(int index) {
        change(index, PUT_OFF, WAITING);
        again.add(index);
        waiting++;
    }

    /** Ends a task for good and returns what to tell of it: an earlier attempt that may have run is not forgotten. */
    TaskReply end(int index, TaskReply reply) {
        if (states[index] == ENDED) {
            throw new InvariantViolationException("job " + job.id() + " task " + index + " ends twice");
        }
        if (states[index] == WAITING) {
            waiting--;
        }
        states[index] = ENDED;
        ended++;
        if (isEnded() && deadline != null) {
            deadline.cancel();
        }
        boolean ranBefore = earlier != null && earlier[index] != null;
        return reply instanceof TaskReply.NotStarted && ranBefore ? earlier[index] : reply;
    }

    boolean isRunning(int index) {
        return states[index] == RUNNING;
    }

    boolean isBackingOff(int index) {
        return states[index] == PUT_OFF;
    }

    boolean isNotEnded(int index) {
        return states[index] != ENDED;
    }

    long attemptId(int index) {
        return attempts[index];
    }

    /** Returns how often the task was sent again. */
    int retries(int index) {
        return tries == null ? 0 : tries[index];
    }

    void addRetry(int index) {
        if (tries == null) {
            tries = new int[states.length];
        }
        tries[index]++;
    }

    /** Remembers the end of an attempt that may have run. */
    void setEarlierReply(int index, TaskReply reply) {
        if (earlier == null) {
            earlier = new TaskReply[states.length];
        }
        earlier[index] = reply;
    }

    boolean mayHaveRun(int index) {
        return earlier != null && earlier[index] != null;
    }

    private void change(int index, byte from, byte to) {
        if (states[index] != from) {
            throw new InvariantViolationException(
                    "job " + job.id() + " task " + index + ": state " + states[index] + " instead of " + from);
        }
        states[index] = to;
    }
}
