package org.gooseberrypier.internal.placement;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Job;
import org.gooseberrypier.internal.board.TeamState;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskRef;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TaskSpec;

/** Tracks the tasks of all admitted jobs, and reports the end of each task exactly once. */
final class TaskQueue {

    private final Blackboard board;
    private final EndpointIndex index;
    private final Map<JobId, JobTasks> jobs = new HashMap<>();

    TaskQueue(Blackboard board, EndpointIndex index) {
        this.board = board;
        this.index = index;
    }

    void admit(Job job, Context context) {
        Submission submission = job.submission();
        if (jobs.containsKey(job.id())) {
            throw new InvariantViolationException("job " + job.id() + " admitted twice");
        }
        if (isFull(submission)) {
            refuse(job, context);
            return;
        }
        JobTasks tasks = create(job, context.nowMs());
        jobs.put(job.id(), tasks);
        addWaiting(tasks, tasks.size(), submission.bodyBytes());
        tasks.queue().pool().add(tasks);
        tasks.setDeadline(context.schedule(job.deadlineAtMs(), c -> handleDeadline(tasks, c)));
        index.markChanged(tasks.queue().pool());
    }

    void withdraw(JobId id, Reason reason, Context context) {
        JobTasks tasks = jobs.get(id);
        if (tasks == null || tasks.isWithdrawn()) {
            return;
        }
        tasks.withdraw(reason);
        for (int i = 0; i < tasks.size(); i++) {
            if (tasks.isRunning(i)) {
                context.emit(new Effect.CancelTask(tasks.attemptId(i)));
            } else if (tasks.isNotEnded(i)) {
                removeWaiting(tasks, i);
                end(tasks, i, new TaskReply.NotStarted("withdrawn: " + reason), context);
            }
        }
    }

    void start(JobTasks tasks, int task, long attempt) {
        tasks.start(task, attempt);
        removeWaiting(tasks, task);
    }

    /** Schedules a retry of a task after a delay. */
    void scheduleRetry(JobTasks tasks, int task, long delayMs, Context context) {
        tasks.backOff(task);
        tasks.addRetry(task);
        addWaiting(tasks, 1, tasks.spec(task).body().size());
        context.schedule(context.nowMs() + delayMs, c -> requeue(tasks, task));
    }

    void end(JobTasks tasks, int task, TaskReply reply, Context context) {
        TaskReply reported = tasks.end(task, reply);
        context.raise(new InternalEvent.TaskEnded(new TaskRef(tasks.job().id(), task), reported));
        if (tasks.isEnded()) {
            jobs.remove(tasks.job().id());
        }
    }

    /** Withdraws the jobs with waiting tasks of a work that no endpoint serves any more. */
    void withdrawUnserved(Context context) {
        for (JobTasks t : jobs.values().toArray(new JobTasks[0])) {
            if (t.queue().pool().state().endpoints() == 0 && t.waiting() > 0) {
                withdraw(t.job().id(), Reason.CAN_NEVER_RUN, context);
            }
        }
    }

    private JobTasks create(Job job, long nowMs) {
        Submission submission = job.submission();
        TeamState team = board.quotas().teams().computeIfAbsent(submission.team(), TeamState::new);
        WorkPool pool = index.pool(submission.work());
        TeamQueue queue = pool.queue(team);
        double sumMs = 0;
        for (TaskSpec t : submission.tasks()) {
            sumMs += queue.expectedRunMs(t);
        }
        double parallel = Math.max(1, pool.state().slots());
        return new JobTasks(job, queue, sumMs / submission.tasks().size(), nowMs + sumMs / parallel);
    }

    private void handleDeadline(JobTasks tasks, Context context) {
        for (int i = 0; i < tasks.size(); i++) {
            if (tasks.isNotEnded(i) && !tasks.isRunning(i)) {
                withdraw(tasks.job().id(), Reason.DEADLINE, context);
                return;
            }
        }
    }

    private void requeue(JobTasks tasks, int task) {
        if (tasks.isBackingOff(task)) {
            tasks.requeue(task);
            tasks.queue().pool().add(tasks);
            index.markChanged(tasks.queue().pool());
        }
    }

    private boolean isFull(Submission submission) {
        var settings = board.settings();
        return board.queue().tasks() + submission.tasks().size() > settings.maxQueuedTasks()
                || board.queue().bytes() + submission.bodyBytes() > settings.maxQueuedBytes();
    }

    private static void refuse(Job job, Context context) {
        for (int i = 0; i < job.submission().tasks().size(); i++) {
            context.raise(new InternalEvent.TaskEnded(
                    new TaskRef(job.id(), i), new TaskReply.NotStarted("the queue is full")));
        }
    }

    private void removeWaiting(JobTasks tasks, int task) {
        addWaiting(tasks, -1, -tasks.spec(task).body().size());
        if (board.queue().tasks() < 0 || tasks.queue().team().waiting() < 0) {
            throw new InvariantViolationException(
                    "number of waiting tasks became negative: " + board.queue().tasks() + " on this VM, of the team "
                            + tasks.queue().team().waiting());
        }
    }

    private void addWaiting(JobTasks tasks, int delta, long bytes) {
        board.queue().addWaiting(delta, bytes);
        tasks.queue().team().addWaiting(delta);
        tasks.queue().pool().state().addWaiting(delta, delta * tasks.expectedTaskMs());
    }
}
