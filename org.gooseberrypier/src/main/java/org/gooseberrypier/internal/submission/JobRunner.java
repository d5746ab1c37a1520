package org.gooseberrypier.internal.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.Job;
import org.gooseberrypier.internal.board.Waiter;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Timer;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.TaskReply;

/** Tracks the jobs of this VM from their submission to their final answer. */
final class JobRunner {

    static final long RETRY_AFTER_MS = 1_000;
    private static final long TASK_STOP_TIMEOUT_MS = 500;
    private static final long UNENDED_JOB_RETENTION_MS = 60_000;

    private final Blackboard board;
    private final AnswerSink answers;
    private final JobListener listener;
    private final Map<JobId, Timer> deadlines = new HashMap<>();
    private final Map<Long, Job> jobsByCall = new HashMap<>();

    JobRunner(Blackboard board, AnswerSink answers, JobListener listener) {
        this.board = board;
        this.answers = answers;
        this.listener = listener;
    }

    /** Receives the end or the expiry of jobs. */
    interface JobListener {

        /** The deadline of a job passed before it was admitted. */
        void expiredUnadmitted(Job job, Context context);

        /** A job has its final answer. */
        void ended(Job job, Answer answer, Context context);
    }

    Job get(JobId id) {
        return board.submissions().jobs().get(id);
    }

    /** Adds a job whose tasks may not start yet, and schedules its deadline. */
    void add(Job job, Context context) {
        board.submissions().jobs().put(job.id(), job);
        deadlines.put(job.id(), context.schedule(job.deadlineAtMs(), c -> expire(job, c)));
    }

    /** Removes a job that was never admitted. */
    void removeUnadmitted(Job job) {
        board.submissions().jobs().remove(job.id());
        cancelTimer(job);
    }

    void admit(Job job, Context context) {
        job.setAdmitted();
        context.raise(new InternalEvent.JobAdmitted(job.id()));
    }

    /** Withdraws the tasks of an admitted job; has no effect if the job is not admitted or already withdrawn. */
    void withdraw(Job job, Reason reason, Context context) {
        if (job.isAdmitted() && job.withdrawn().isEmpty()) {
            job.withdraw(reason);
            context.raise(new InternalEvent.JobWithdrawn(job.id(), reason));
        }
    }

    void endTask(InternalEvent.TaskEnded ended, Context context) {
        Job job = get(ended.task().job());
        if (job == null) {
            return;
        }
        job.endTask(ended.task().index(), ended.reply());
        if (job.isEnded()) {
            end(job, answerOf(job), context);
        }
    }

    /** Answers and removes the current waiters of a job; more waiters may join later. */
    void answerWaiters(Job job, Answer answer, Context context) {
        List<Waiter> all = new ArrayList<>(job.waiters());
        job.waiters().clear();
        for (Waiter w : all) {
            if (w instanceof Waiter.Call c) {
                jobsByCall.remove(c.call());
            }
            answers.deliver(w, answer, context);
        }
    }

    /** Answers the waiters of all jobs. */
    void answerAll(Answer answer, Context context) {
        new ArrayList<>(board.submissions().jobs().values()).forEach(j -> answerWaiters(j, answer, context));
    }

    /** Adds and admits a job without a key. */
    void start(Job job, long call, Context context) {
        job.waiters().add(new Waiter.Call(call));
        jobsByCall.put(call, job);
        add(job, context);
        admit(job, context);
    }

    /** Removes a disconnected caller from its job without a key and withdraws the job. */
    void dropCall(long call, Context context) {
        Job job = jobsByCall.remove(call);
        if (job != null && job.waiters().remove(new Waiter.Call(call))) {
            board.counters().increment(Counter.ANSWERS_DROPPED);
            withdraw(job, Reason.CANCELLED, context);
        }
    }

    private void expire(Job job, Context context) {
        if (!job.isAdmitted()) {
            listener.expiredUnadmitted(job, context);
            return;
        }
        withdraw(job, Reason.DEADLINE, context);
        deadlines.put(
                job.id(), context.schedule(context.nowMs() + TASK_STOP_TIMEOUT_MS, c -> answerUnfinished(job, c)));
    }

    /** Answers a job with unfinished tasks as unknown, and keeps it until its tasks end or a time-out expires. */
    private void answerUnfinished(Job job, Context context) {
        answerWaiters(job, new Answer.Unknown(Reason.DEADLINE, "a task had not ended at the deadline"), context);
        deadlines.put(job.id(), context.schedule(context.nowMs() + UNENDED_JOB_RETENTION_MS, c -> discard(job, c)));
    }

    private void discard(Job job, Context context) {
        end(job, new Answer.Unknown(Reason.ANSWER_LOST, "a task never ended"), context);
    }

    private void end(Job job, Answer answer, Context context) {
        cancelTimer(job);
        job.setAnswer(answer);
        countOutcome(answer);
        board.submissions().jobs().remove(job.id());
        answerWaiters(job, answer, context);
        listener.ended(job, answer, context);
        context.raise(new InternalEvent.JobEnded(job.id()));
    }

    private void cancelTimer(Job job) {
        Timer timer = deadlines.remove(job.id());
        if (timer != null) {
            timer.cancel();
        }
    }

    private void countOutcome(Answer answer) {
        if (answer instanceof Answer.Complete) {
            board.counters().increment(Counter.JOBS_COMPLETE);
        } else if (answer instanceof Answer.Failed) {
            board.counters().increment(Counter.JOBS_FAILED);
        } else if (answer instanceof Answer.NotRun) {
            board.counters().increment(Counter.JOBS_NOT_RUN);
        } else {
            board.counters().increment(Counter.JOBS_UNKNOWN);
        }
    }

    private static Answer answerOf(Job job) {
        TaskReply failure = job.decisiveReply().orElse(null);
        if (failure == null) {
            return new Answer.Complete(job.results());
        }
        if (failure instanceof TaskReply.Lost l) {
            return new Answer.Unknown(Reason.ANSWER_LOST, l.detail());
        }
        if (failure instanceof TaskReply.Failed f) {
            return new Answer.Failed(job.withdrawn().orElse(Reason.TASK_FAILED), f.detail());
        }
        String detail = ((TaskReply.NotStarted) failure).detail();
        Reason reason = job.withdrawn().orElse(Reason.OVERLOADED);
        return job.startedTasks() == 0
                ? new Answer.NotRun(reason, detail, RETRY_AFTER_MS)
                : new Answer.Failed(reason, detail);
    }
}
