package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;

/**
 * Keeps the jobs of this VM's callers until they have ended, and forwards them to the owner and to each new owner.
 */
final class EntryController {

    /** Time without an owner after which waiting jobs are answered, in milliseconds; a job that no owner had is refused. */
    private static final long NO_OWNER_TIMEOUT_MS = 1_200;

    /** Retry delay sent to callers that are refused because there is no owner or too many jobs, in milliseconds. */
    private static final long RETRY_AFTER_MS = 1_000;

    /** Upper limit of the jobs at one entry VM; equal to the owner's limit for the jobs of all VMs. */
    private static final int MAX_JOBS = 20_000;

    /** Time without events after which requests of callers may have waited unread, in milliseconds; ticks come more often. */
    private static final long MIN_PAUSE_MS = 400;

    /** Time within which the requests that arrived during a pause are read after it, in milliseconds. */
    private static final long READ_AFTER_PAUSE_MS = 100;

    private final PoolBoard board;
    private final Map<String, EntryJob> jobs = new LinkedHashMap<>();
    private final Map<Long, EntryCall> calls = new LinkedHashMap<>();
    private final SuspensionCheck suspension = new SuspensionCheck();
    private volatile Map<String, Integer> waiting = Map.of();
    /** At most the earliest deadline of the calls, in milliseconds. */
    private long nextDeadlineMs = Long.MAX_VALUE;

    private boolean ownerLinked;
    /** Whether the owner may use endpoints that other VMs have forgotten; assumed until its first heartbeat tells. */
    private boolean ownerListOutdated = true;

    private long ownerUnlinkedSinceMs;
    private long pauseEndedMs = Long.MIN_VALUE / 2;
    private long pausedMs;
    /** Whether jobs may be held. */
    private boolean holding;
    /** When it was last checked which jobs must be held, in milliseconds; events of one millisecond need one check. */
    private long heldAtMs;

    /**
     * Call of a caller that waits for a job.
     *
     * @param job the identifier of the job
     * @param deadlineMs until when the caller waits, in milliseconds
     * @param readAtMs when the call was read, in milliseconds
     */
    private record EntryCall(String job, long deadlineMs, long readAtMs) {

        EntryCall shortenedBy(long ms) {
            return new EntryCall(job, deadlineMs - ms, readAtMs);
        }
    }

    private static final class EntryJob {
        private final PoolJob spec;
        private final long arrivedAtMs;
        private final Set<Long> callers = new LinkedHashSet<>();
        private final Set<Integer> doneTasks = new TreeSet<>();
        /** The latest deadline of its callers, in milliseconds; calls that have ended count too. */
        private long deadlineMs = Long.MIN_VALUE;
        /** The number of VMs to which the job was forwarded and which may have admitted it. */
        private int earlierOwners;

        /** Whether the job was ever forwarded. */
        private boolean forwarded;
        /** Whether all its callers may have left while this VM was suspended, so that no owner may start it. */
        private boolean held;

        /** Whether the VM to which the job was forwarded last may have admitted it. */
        private boolean mayBeAtOwner;
        /** Whether runs of it may be at endpoints that other owners do not know. */
        private boolean unknownEndpoints;

        EntryJob(PoolJob spec, long arrivedAtMs) {
            this.spec = spec;
            this.arrivedAtMs = arrivedAtMs;
        }

        boolean mayBeAdmitted() {
            return earlierOwners > 0;
        }
    }

    EntryController(PoolBoard board) {
        this.board = board;
    }

    /**
     * Records how long no event came before the present one. A request that is read after a pause may have arrived at its
     * beginning, and its caller may have left unseen.
     */
    void onIdle(long idleMs) {
        if (idleMs > MIN_PAUSE_MS) {
            pauseEndedMs = board.now;
            pausedMs = idleMs;
        }
    }

    /**
     * Begins to find out whether this VM was suspended for a time that its steady clock did not count. Until that is known,
     * jobs whose callers may have left by then are held: they are withdrawn and not forwarded, and their callers are not
     * answered.
     */
    void onClocksParted(long longestMs) {
        suspension.begin(longestMs, board.now);
        endOverdueCalls();
    }

    /** Takes the clock of another VM, the owner under a token, as evidence whether this VM was suspended. */
    void onOwnerClock(long token, long sentAtMs) {
        suspension.onHeartbeat(token, sentAtMs, board.now);
    }

    private void endSuspensionCheck() {
        OptionalLong suspendedMs = suspension.poll(board.now);
        if (suspendedMs.isPresent()) {
            board.log("event=suspension_known suspended_ms=" + suspendedMs.getAsLong() + " after_ms="
                    + (board.now - suspension.sinceMs()));
            calls.replaceAll((k, c) -> mayPredateSuspension(c) ? c.shortenedBy(suspendedMs.getAsLong()) : c);
            nextDeadlineMs = Long.MIN_VALUE;
            jobs.values().forEach(this::updateDeadline);
        }
    }

    private void updateDeadline(EntryJob job) {
        job.deadlineMs = job.callers.stream()
                .mapToLong(c -> calls.get(c).deadlineMs())
                .max()
                .orElse(job.deadlineMs);
    }

    private boolean mayPredateSuspension(EntryCall call) {
        return call.readAtMs() <= suspension.sinceMs() + READ_AFTER_PAUSE_MS;
    }

    private boolean mayHaveLeft(EntryCall call) {
        return mayPredateSuspension(call) && board.now >= call.deadlineMs() - suspension.longestMs();
    }

    private boolean mustHold(EntryJob job) {
        return suspension.isOpen() && job.callers.stream().allMatch(c -> mayHaveLeft(calls.get(c)));
    }

    /** Withdraws the jobs that must be held, and forwards those that need not be held any more. */
    private void holdJobs() {
        boolean checked = holding && suspension.isOpen() && board.now == heldAtMs;
        if (checked || !suspension.isOpen() && !holding) {
            return;
        }
        holding = suspension.isOpen();
        heldAtMs = board.now;
        for (EntryJob j : jobs.values()) {
            boolean hold = mustHold(j);
            if (hold && !j.held) {
                hold(j);
            } else if (!hold && j.held) {
                forwardUnlessHeld(j);
            }
        }
    }

    private void hold(EntryJob job) {
        boolean withdrawn = withdraw(job);
        job.held = true;
        board.log("event=job_held job=" + job.spec.id() + " longest_ms=" + suspension.longestMs() + " withdrawn="
                + withdrawn);
    }

    private void forwardUnlessHeld(EntryJob job) {
        job.held = false;
        if (mustHold(job)) {
            hold(job);
        } else if (ownerLinked) {
            forward(job);
        }
    }

    /** Returns how long a request may have waited before its event is handled. */
    private long unreadMs(PoolEvent.JobSubmitted event) {
        long paused = board.now - pauseEndedMs < READ_AFTER_PAUSE_MS ? pausedMs : 0;
        return Math.max(paused, board.now - Math.min(board.now, event.arrivedAtMs()));
    }

    void onJobSubmitted(PoolEvent.JobSubmitted event) {
        PoolJob spec = event.job();
        EntryJob job = jobs.get(spec.id());
        long unreadMs = unreadMs(event);
        if (job == null && event.patienceMs() <= unreadMs) {
            board.log("event=job_unread job=" + spec.id() + " patience_ms=" + event.patienceMs() + " unread_ms="
                    + unreadMs);
            board.emit(new PoolEffect.Answer(
                    event.call(), spec.id(), new JobOutcome.Refused("read too late", RETRY_AFTER_MS)));
            return;
        }
        if (job == null && jobs.size() >= MAX_JOBS) {
            board.emit(new PoolEffect.Answer(
                    event.call(), spec.id(), new JobOutcome.Refused("too many jobs", RETRY_AFTER_MS)));
            return;
        }
        long deadlineMs = board.now + event.patienceMs() - unreadMs;
        calls.put(event.call(), new EntryCall(spec.id(), deadlineMs, board.now));
        nextDeadlineMs = Math.min(nextDeadlineMs, deadlineMs);
        if (job != null) {
            job.callers.add(event.call());
            extend(job, deadlineMs);
            return;
        }
        job = new EntryJob(spec, board.now);
        job.deadlineMs = deadlineMs;
        job.callers.add(event.call());
        jobs.put(spec.id(), job);
        forwardUnlessHeld(job);
    }

    private void extend(EntryJob job, long deadlineMs) {
        if (deadlineMs > job.deadlineMs) {
            job.deadlineMs = deadlineMs;
            if (ownerLinked) {
                board.sendToOwner(new PoolMessage.ExtendJob(job.spec.id(), deadlineMs - board.now));
            }
        }
    }

    void onCallerDisconnected(long call) {
        endCall(call, "caller_gone");
    }

    private void endCall(long call, String event) {
        EntryCall ended = calls.remove(call);
        EntryJob job = ended == null ? null : jobs.get(ended.job());
        if (job == null) {
            return;
        }
        job.callers.remove(call);
        if (job.callers.isEmpty()) {
            jobs.remove(ended.job());
            boolean withdrawn = withdraw(job);
            board.log("event=" + event + " job=" + ended.job() + " age_ms=" + (board.now - job.arrivedAtMs) + " owners="
                    + job.earlierOwners + " withdrawn=" + withdrawn);
        }
    }

    /**
     * Ends the calls whose deadlines have passed, as if their callers had disconnected: a caller whose connection has become
     * silent leaves unseen, and submits its job again at any VM. Called before each event is handled, so that this VM neither
     * acknowledges a heartbeat nor forwards a job for a caller that has left, also while it skips ticks.
     */
    void endOverdueCalls() {
        endSuspensionCheck();
        if (board.now >= nextDeadlineMs) {
            endCallsOverdueNow();
        }
        holdJobs();
    }

    private void endCallsOverdueNow() {
        nextDeadlineMs = Long.MAX_VALUE;
        List<Map.Entry<Long, EntryCall>> overdue = new ArrayList<>();
        for (Map.Entry<Long, EntryCall> c : calls.entrySet()) {
            if (board.now >= c.getValue().deadlineMs()) {
                overdue.add(c);
            } else {
                nextDeadlineMs = Math.min(nextDeadlineMs, c.getValue().deadlineMs());
            }
        }
        for (Map.Entry<Long, EntryCall> c : overdue) {
            endCall(c.getKey(), "caller_overdue");
            board.emit(new PoolEffect.Answer(
                    c.getKey(), c.getValue().job(), new JobOutcome.Unknown("not done by the caller's deadline")));
        }
    }

    void onJobCancelled(String id) {
        EntryJob job = jobs.get(id);
        if (job != null) {
            withdraw(job);
            answer(job, new JobOutcome.Failed("cancelled"));
        }
    }

    /**
     * Tells the owner that nobody waits for a job any more; returns false if there is no link or no need to. A job that may not have been
     * admitted is withdrawn too: the count of owners that may have it can be too low after an answer to an earlier submission.
     */
    private boolean withdraw(EntryJob job) {
        boolean needed = ownerLinked && job.forwarded && !job.held;
        if (needed) {
            board.sendToOwner(new PoolMessage.WithdrawJob(job.spec.id()));
        }
        return needed;
    }

    private void forward(EntryJob job) {
        board.sendToOwner(new PoolMessage.ForwardJob(
                job.spec,
                board.now - job.arrivedAtMs,
                job.earlierOwners,
                new ArrayList<>(job.doneTasks),
                job.unknownEndpoints,
                job.deadlineMs - board.now));
        job.earlierOwners++;
        job.forwarded = true;
        job.mayBeAtOwner = true;
    }

    void onMessage(PoolMessage.ToEntry message) {
        if (message instanceof PoolMessage.TaskDone d) {
            EntryJob job = jobs.get(d.job());
            if (job != null) {
                job.doneTasks.add(d.task());
            }
        } else if (message instanceof PoolMessage.JobNotAdmitted n) {
            EntryJob job = jobs.get(n.job());
            if (job != null) {
                job.earlierOwners = Math.max(0, job.earlierOwners - 1);
                job.mayBeAtOwner = false;
            }
        } else if (message instanceof PoolMessage.JobFinished f) {
            EntryJob job = jobs.get(f.job());
            if (job != null) {
                answer(job, f.outcome());
                if (!(f.outcome() instanceof JobOutcome.Completed)) {
                    // The owner may have sent the outcome before the latest forward reached it; a completed job it
                    // remembers.
                    withdraw(job);
                }
            }
        } else if (message instanceof PoolMessage.Heartbeat h) {
            waiting = h.waitingJobs();
            ownerListOutdated = h.listOutdated();
        }
    }

    private void answer(EntryJob job, JobOutcome outcome) {
        jobs.remove(job.spec.id());
        board.log("event=job_answered job=" + job.spec.id() + " queue=" + job.spec.queue() + " outcome=" + outcome
                + " age_ms=" + (board.now - job.arrivedAtMs) + " callers=" + job.callers.size());
        for (long call : job.callers) {
            calls.remove(call);
            board.emit(new PoolEffect.Answer(call, job.spec.id(), outcome));
        }
    }

    /** Handles a change of the link to the owner; forwards all jobs when the link is up. */
    void onOwnerLinkChanged(boolean nowLinked) {
        if (nowLinked) {
            ownerLinked = true;
            if (!jobs.isEmpty()) {
                board.log("event=jobs_forwarded owner=" + (board.isOwner() ? "self" : board.linkedOwner) + " jobs="
                        + jobs.size() + " unlinked_ms=" + (board.now - ownerUnlinkedSinceMs));
            }
            board.sendToOwner(new PoolMessage.ForwardsBegin());
            for (EntryJob j : List.copyOf(jobs.values())) {
                forwardUnlessHeld(j);
            }
        } else if (ownerLinked) {
            ownerLinked = false;
            ownerUnlinkedSinceMs = board.now;
            for (EntryJob j : jobs.values()) {
                j.unknownEndpoints |= j.mayBeAtOwner && ownerListOutdated;
            }
            ownerListOutdated = true;
        }
    }

    void onTick() {
        if (ownerLinked || board.now - ownerUnlinkedSinceMs < NO_OWNER_TIMEOUT_MS) {
            return;
        }
        for (EntryJob j : List.copyOf(jobs.values())) {
            if (board.now - j.arrivedAtMs >= NO_OWNER_TIMEOUT_MS) {
                answer(
                        j,
                        j.mayBeAdmitted()
                                ? new JobOutcome.Unknown("the owner is lost")
                                : new JobOutcome.Refused("no owner", RETRY_AFTER_MS));
            }
        }
    }

    int waitingJobs(String queue) {
        return waiting.getOrDefault(queue, 0);
    }
}
