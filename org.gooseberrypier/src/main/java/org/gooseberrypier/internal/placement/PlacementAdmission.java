package org.gooseberrypier.internal.placement;

import java.util.Optional;

import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.TeamState;
import org.gooseberrypier.internal.board.WorkState;
import org.gooseberrypier.internal.submission.Admission;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.TeamSpec;

/**
 * Refuses submissions that no endpoint can run, that exceed the quota of a team or the queue, or that would miss their
 * deadline.
 */
public final class PlacementAdmission implements Admission {

    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final long MAX_RETRY_AFTER_MS = 10_000;
    private static final long NO_RETRY_AFTER_MS = 0;
    private static final double WAIT_SAFETY_FACTOR = 1.2;
    private static final double RUN_TIME_DEVIATIONS = 2;
    private static final double MAX_SLOT_SHARES = 1.5;
    private static final int MAX_UNLISTED_TEAMS = 10_000;

    private final Blackboard board;

    /**
     * Creates the admission check.
     *
     * @param board the shared state of the engine
     */
    public PlacementAdmission(Blackboard board) {
        this.board = board;
    }

    @Override
    public Optional<Answer.NotRun> check(Submission submission, long nowMs) {
        return canNeverRun(submission)
                .or(() -> overQuota(submission))
                .or(() -> queueFull(submission))
                .or(() -> wouldMissDeadline(submission));
    }

    private Optional<Answer.NotRun> canNeverRun(Submission submission) {
        WorkState work = board.queue().works().get(submission.work());
        if (work == null || work.endpoints() == 0) {
            return refusal(Reason.CAN_NEVER_RUN, "no endpoint serves " + submission.work(), NO_RETRY_AFTER_MS);
        }
        for (TaskSpec t : submission.tasks()) {
            if (!t.resources().equals(Resources.NONE) && !fitsAnywhere(submission, t.resources())) {
                return refusal(
                        Reason.CAN_NEVER_RUN,
                        "task " + t.id() + " is larger than any endpoint that serves " + submission.work(),
                        NO_RETRY_AFTER_MS);
            }
        }
        return Optional.empty();
    }

    private boolean fitsAnywhere(Submission submission, Resources declared) {
        for (EndpointState e : board.endpoints().states().values()) {
            EndpointSpec spec = e.spec();
            boolean serves = e.isServing() && spec.works().contains(submission.work());
            if (serves && CapacityModel.of(spec).requiredSlots(spec, declared) <= spec.slots()) {
                return true;
            }
        }
        return false;
    }

    private Optional<Answer.NotRun> overQuota(Submission submission) {
        var listed = board.tickets().inForce().teams();
        TeamSpec spec = listed.get(submission.team());
        TeamState team = board.quotas().teams().get(submission.team());
        if (spec == null && !listed.isEmpty()) {
            return refusal(
                    Reason.OVER_QUOTA, "the ticket in force has no team " + submission.team(), MAX_RETRY_AFTER_MS);
        }
        if (team == null && board.quotas().teams().size() >= MAX_UNLISTED_TEAMS) {
            return refusal(Reason.OVER_QUOTA, "too many teams", MAX_RETRY_AFTER_MS);
        }
        int waiting = team == null ? 0 : team.waiting();
        if (spec != null && waiting + submission.tasks().size() > spec.maxQueued()) {
            return refusal(
                    Reason.OVER_QUOTA,
                    "team " + submission.team() + " has " + waiting + " tasks waiting of at most " + spec.maxQueued(),
                    retryAfterMs(waitMs(submission, 0)));
        }
        if (spec != null && spec.maxRunning() == 0) {
            return refusal(Reason.OVER_QUOTA, "team " + submission.team() + " may run no task", MAX_RETRY_AFTER_MS);
        }
        return Optional.empty();
    }

    private Optional<Answer.NotRun> queueFull(Submission submission) {
        var settings = board.settings();
        boolean full = board.queue().tasks() + submission.tasks().size() > settings.maxQueuedTasks()
                || board.queue().bytes() + submission.bodyBytes() > settings.maxQueuedBytes();
        return full
                ? refusal(Reason.OVERLOADED, "the queue is full", retryAfterMs(waitMs(submission, 0)))
                : Optional.empty();
    }

    private Optional<Answer.NotRun> wouldMissDeadline(Submission submission) {
        WorkState work = board.queue().works().get(submission.work());
        boolean startsImmediately =
                work.waiting() == 0 && work.running() + submission.tasks().size() <= work.slots();
        if (startsImmediately || work.running() == 0 && work.waiting() == 0) {
            // Run times are learned only from tasks that run: if a VM with free slots refused work because of a wrong
            // estimate, the estimate would never be corrected.
            return Optional.empty();
        }
        double taskMs = work.meanRunMs();
        double longestMs = taskMs + RUN_TIME_DEVIATIONS * work.deviationMs();
        double neededMs =
                WAIT_SAFETY_FACTOR * waitMs(submission, submission.tasks().size() * taskMs) + longestMs;
        if (!work.hasSamples() || neededMs <= submission.deadlineMs()) {
            return Optional.empty();
        }
        return refusal(
                Reason.OVERLOADED,
                "the work would take " + Math.round(neededMs) + " ms, its deadline is " + submission.deadlineMs()
                        + " ms",
                retryAfterMs(neededMs - submission.deadlineMs()));
    }

    /** Estimates how long the slots available to this VM take for its waiting tasks and for additional work. */
    private double waitMs(Submission submission, double additionalMs) {
        WorkState work = board.queue().works().get(submission.work());
        double share = (double) work.slots() / board.queue().vmCount();
        double slots = Math.max(1, Math.max(share, Math.min(work.running(), MAX_SLOT_SHARES * share)));
        return (work.waitingMs() + additionalMs) / slots;
    }

    private static long retryAfterMs(double waitMs) {
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)));
    }

    private static Optional<Answer.NotRun> refusal(Reason reason, String detail, long retryAfterMs) {
        return Optional.of(new Answer.NotRun(reason, detail, retryAfterMs));
    }
}
