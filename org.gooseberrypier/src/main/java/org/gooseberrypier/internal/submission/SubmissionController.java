package org.gooseberrypier.internal.submission;

import java.util.Optional;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.CallerEvent;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.Job;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Controller;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.peer.SubmissionMessage;

/** Handles the submissions of this VM's callers and the keyed jobs whose shard has its primary or backup on this VM. */
public final class SubmissionController implements Controller {

    private static final long TICK_INTERVAL_MS = 100;

    private final Blackboard board;
    private final Admission admission;
    private final RequestRouter router;
    private final KeyedJobService keyedJobs;
    private final JobRunner jobs;
    private final ShardRecovery recovery;
    private boolean started;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param admission decides whether a submission must be refused
     * @param guards the guards against starting a task twice
     */
    public SubmissionController(Blackboard board, Admission admission, SafetyGuards guards) {
        this.board = board;
        this.admission = admission;
        RecordStore store = new RecordStore(board);
        HomeZones homeZones = new HomeZones(board);
        router = new RequestRouter(board, homeZones);
        keyedJobs = new KeyedJobService(board, homeZones, store, guards, admission, router);
        jobs = new JobRunner(board, router, new KeyedJobListener());
        recovery = new ShardRecovery(board, store, guards, keyedJobs);
        keyedJobs.setJobs(jobs);
        router.setKeyedJobs(keyedJobs);
    }

    @Override
    public void handle(Event event, Context context) {
        start(context);
        if (event instanceof CallerEvent e) {
            handleCaller(e, context);
        } else if (event instanceof InternalEvent.TaskEnded e) {
            jobs.endTask(e, context);
        } else if (event instanceof InternalEvent.ViewChanged) {
            recovery.handle(event, context);
            router.reroute(context);
        } else if (event instanceof InternalEvent.StopTimedOut) {
            jobs.answerAll(new Answer.Unknown(Reason.STOPPING, "the VM stopped before the job ended"), context);
            router.abandonAll(context);
        } else if (event instanceof PeerEvent e) {
            handlePeer(e, context);
        }
    }

    private void start(Context context) {
        if (!started) {
            started = true;
            context.schedule(context.nowMs() + TICK_INTERVAL_MS, this::tick);
        }
    }

    private void tick(Context context) {
        context.schedule(context.nowMs() + TICK_INTERVAL_MS, this::tick);
        recovery.tick(context);
        keyedJobs.tick(context);
        router.tick(context);
    }

    private void handleCaller(CallerEvent event, Context context) {
        if (event instanceof CallerEvent.Submitted s) {
            submit(s, context);
        } else if (event instanceof CallerEvent.StatusRequested s) {
            router.requestStatus(s.call(), s.team(), s.key(), false, context);
        } else if (event instanceof CallerEvent.CancelRequested c) {
            router.requestStatus(c.call(), c.team(), c.key(), true, context);
        } else if (event instanceof CallerEvent.Disconnected g) {
            router.dropCall(g.call());
            jobs.dropCall(g.call(), context);
        }
    }

    private void handlePeer(PeerEvent event, Context context) {
        recovery.handle(event, context);
        if (event instanceof PeerEvent.Received r && r.message() instanceof SubmissionMessage m) {
            keyedJobs.receive(r.from(), m, context);
            router.receive(m, context);
        } else if (event instanceof PeerEvent.LinkDown d) {
            router.linkDown(d.vm(), context);
        }
    }

    private void submit(CallerEvent.Submitted submitted, Context context) {
        Submission submission = submitted.submission();
        if (submission.key().isPresent()) {
            router.submit(submitted.call(), submission, context);
            return;
        }
        Optional<Answer.NotRun> refusal = checkKeyless(submission, context.nowMs());
        if (refusal.isPresent()) {
            board.counters().increment(Counter.JOBS_NOT_RUN);
            context.emit(new Effect.AnswerCaller(submitted.call(), refusal.get()));
            return;
        }
        JobId id = JobId.keyless(board.settings().self(), context.nextId());
        jobs.start(new Job(id, submission, context.nowMs() + submission.deadlineMs()), submitted.call(), context);
    }

    private Optional<Answer.NotRun> checkKeyless(Submission submission, long nowMs) {
        if (!board.tickets().inForce().isPresent()) {
            return Optional.of(notRun(Reason.UNAVAILABLE, "no ticket is in force here"));
        }
        if (board.lifecycle().isStopping()) {
            return Optional.of(notRun(Reason.STOPPING, "this VM is stopping"));
        }
        return admission.check(submission, nowMs);
    }

    private static Answer.NotRun notRun(Reason reason, String detail) {
        return new Answer.NotRun(reason, detail, JobRunner.RETRY_AFTER_MS);
    }

    private final class KeyedJobListener implements JobRunner.JobListener {

        @Override
        public void expiredUnadmitted(Job job, Context context) {
            keyedJobs.expiredUnadmitted(job, context);
        }

        @Override
        public void ended(Job job, Answer answer, Context context) {
            keyedJobs.ended(job, answer, context);
        }
    }
}
