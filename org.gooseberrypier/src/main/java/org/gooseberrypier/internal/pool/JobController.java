package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;

import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.RunEnd;
import org.gooseberrypier.pool.RunId;
import org.gooseberrypier.pool.SchedulingPolicy;
import org.gooseberrypier.pool.StartResult;
import org.gooseberrypier.pool.VmIncarnation;

/**
 * Runs jobs at the owner: starts and stops their tasks, processes the ends of runs and notifies the entry VMs that wait.
 *
 * <p>At most one run of a task exists at a time: a task is started only while no run of it can exist, and a run whose start
 * order got no answer is stopped before the task is started again.
 */
final class JobController implements LeaseController.RunListener {

    /** Time within which an entry VM must restore a lost link before its jobs are stopped, in milliseconds. */
    private static final long ENTRY_RECONNECT_TIMEOUT_MS = 400;

    /**
     * Time within which an entry VM must acknowledge a heartbeat after a pause of the owner, in milliseconds; its jobs are
     * stopped after that. The VM may have left during the pause, and the owner's renewals keep its runs alive.
     */
    private static final long CONFIRMATION_TIMEOUT_MS = 150;

    /**
     * Time after which the jobs of a VM that acknowledges no heartbeat are stopped, in milliseconds. It leaves time for the
     * stops before {@link LeaseLimit} lets the leases of their endpoints expire, which end the runs of other VMs too.
     */
    private static final long MAX_UNHEARD_MS = 900;

    /** Delay before a stop order that was not accepted is sent again, in milliseconds. */
    private static final long STOP_RETRY_DELAY_MS = 250;

    /** Maximum number of runs that one line of the log names. */
    private static final int MAX_LOGGED_RUNS = 16;

    private final PoolBoard board;
    private final LeaseLimit leaseLimit;
    private final LeaseController leases;
    private final OwnershipController ownership;
    private final LinkedVms linkedVms;
    private final DurationEstimator durations = new DurationEstimator();
    private final DuplicateRunGuard duplicateRunGuard;
    private final SlowRunDetector slowRunDetector;
    private final PlacementPlanner planner;
    private final JobAdmission admission;
    private final OutcomeCache outcomes = new OutcomeCache();

    JobController(
            PoolBoard board,
            OwnershipController ownership,
            LinkedVms linkedVms,
            SchedulingPolicy policy,
            double remotePenalty) {
        this.board = board;
        this.ownership = ownership;
        this.linkedVms = linkedVms;
        this.leaseLimit = new LeaseLimit(linkedVms);
        this.leases = new LeaseController(board, linkedVms, leaseLimit, this);
        this.duplicateRunGuard = new DuplicateRunGuard(board, leases);
        this.slowRunDetector = new SlowRunDetector(board, durations);
        this.planner = new PlacementPlanner(durations, leaseLimit, JobOrder.of(policy.order()), policy.dropsLate());
        this.admission = new JobAdmission(board, planner, policy.refusesOnArrival());
        durations.setRemotePenalty(remotePenalty);
    }

    LeaseController leases() {
        return leases;
    }

    /** Discards all jobs, since another VM owns the endpoints now. */
    void end() {
        board.jobs.clear();
        outcomes.clear();
    }

    void onForwardJob(VmIncarnation from, long link, PoolMessage.ForwardJob message) {
        PoolJob spec = message.job();
        Optional<JobOutcome> outcome = outcomes.find(from, message, board.now);
        if (outcome.isPresent()) {
            board.sendToEntry(from, new PoolMessage.JobFinished(spec.id(), outcome.get()));
            return;
        }
        OwnedJob known = board.jobs.get(spec.id());
        if (known != null && known.ending) {
            known.resubmissions.put(from, new OwnedJob.Resubmission(link, message, board.now));
        } else if (known != null) {
            subscribe(known, from, link, message);
            if (message.hadEarlierOwner()) {
                updateResumed(known, message);
            }
        } else {
            admit(from, link, message);
        }
    }

    private void subscribe(OwnedJob job, VmIncarnation vm, long link, PoolMessage.ForwardJob message) {
        long downSinceMs = linkedVms.isCurrent(vm, link) ? 0 : board.now;
        job.subscribers.put(
                vm, new OwnedJob.Subscription(link, downSinceMs, board.now, board.now + message.awaitedMs()));
    }

    /** Handles another caller of a job, which waits for longer. */
    void onExtendJob(VmIncarnation from, PoolMessage.ExtendJob message) {
        OwnedJob job = board.jobs.get(message.job());
        if (job != null) {
            job.subscribers.computeIfPresent(from, (vm, s) -> s.extended(board.now + message.awaitedMs()));
            job.resubmissions.computeIfPresent(from, (vm, r) -> r.extended(message.awaitedMs(), board.now));
        }
    }

    /** Updates a known job that another owner may have had in the meantime. */
    private void updateResumed(OwnedJob job, PoolMessage.ForwardJob message) {
        job.resumed = true;
        job.resumedAtMs = board.now;
        job.unknownEndpoints |= message.unknownEndpoints();
        for (int i : message.doneTasks()) {
            setDone(job, i);
        }
        leases.adopt(job);
        skipEarlierAttempts(job, message);
        completeIfDone(job);
    }

    private static void skipEarlierAttempts(OwnedJob job, PoolMessage.ForwardJob message) {
        for (OwnedTask t : job.tasks) {
            if (t.state == OwnedTask.State.WAITING) {
                t.attempt = Math.max(t.attempt, message.earlierOwners() * OwnedJob.ATTEMPTS_PER_OWNER);
            }
        }
    }

    private void admit(VmIncarnation from, long link, PoolMessage.ForwardJob message) {
        PoolJob spec = message.job();
        // The caller may have submitted the job before, to a VM that has failed. A job that ran must not be refused as
        // not run.
        boolean mayHaveRun = message.hadEarlierOwner() || leases.hasOrphanRunsOf(spec.id());
        OwnedJob job = new OwnedJob(spec, board.now - message.ageMs(), mayHaveRun, board.now);
        if (!mayHaveRun) {
            Optional<JobOutcome.Refused> refusal = admission.check(job);
            if (refusal.isPresent()) {
                outcomes.put(spec.id(), refusal.get(), Set.of(from), board.now);
                board.sendToEntry(from, new PoolMessage.JobFinished(spec.id(), refusal.get()));
                return;
            }
        }
        outcomes.remove(spec.id());
        subscribe(job, from, link, message);
        board.jobs.put(spec.id(), job);
        if (mayHaveRun) {
            resume(job, from, message);
        }
        board.placementDue = true;
    }

    private void resume(OwnedJob job, VmIncarnation from, PoolMessage.ForwardJob message) {
        job.unknownEndpoints = message.unknownEndpoints();
        for (int i : message.doneTasks()) {
            setDone(job, i);
        }
        for (int i : leases.takeOrphanDoneTasks(job.spec.id())) {
            setDone(job, i);
        }
        leases.adopt(job);
        skipEarlierAttempts(job, message);
        board.log("event=job_resumed job=" + job.spec.id() + " vm=" + from.address() + " link="
                + job.subscribers.get(from).link() + " age_ms=" + message.ageMs()
                + " earlier_owners=" + message.earlierOwners() + " done=" + job.doneTasks + " running="
                + job.activeTasks + " unknown_endpoints=" + job.unknownEndpoints);
        completeIfDone(job);
    }

    private void setDone(OwnedJob job, int index) {
        if (index < job.tasks.size() && job.tasks.get(index).state == OwnedTask.State.WAITING) {
            job.set(job.tasks.get(index), OwnedTask.State.DONE);
        }
    }

    void onWithdrawJob(VmIncarnation from, String id) {
        OwnedJob job = board.jobs.get(id);
        if (job == null) {
            return;
        }
        if (job.ending) {
            job.resubmissions.remove(from);
            return;
        }
        OwnedJob.Subscription s = job.subscribers.remove(from);
        long awaitedUntilMs = s == null ? board.now : linkedVms.heardMs(from, s, board.now);
        job.awaitedUntilMs = Math.max(job.awaitedUntilMs, awaitedUntilMs);
        if (job.subscribers.isEmpty()) {
            endJob(job, "withdrawn");
        }
    }

    /** Returns the number of jobs that an entry VM waits for. */
    private long jobsAwaitedBy(VmIncarnation vm) {
        return board.jobs.values().stream()
                .filter(j -> j.subscribers.containsKey(vm))
                .count();
    }

    /** Handles a new link of an entry VM: jobs that the VM does not forward over it end like those of a lost link. */
    void onEntryLinkUp(VmIncarnation vm, long link, boolean replaced) {
        board.log("event=entry_linked vm=" + vm.address() + " link=" + link + " replaced=" + replaced + " jobs="
                + jobsAwaitedBy(vm));
        markDisconnected(vm, board.now);
    }

    /** Voids what an entry VM has forwarded until now; it ends like the jobs of a lost link unless the VM forwards it again. */
    void onForwardsBegin(VmIncarnation vm) {
        markDisconnected(vm, board.now);
        for (OwnedJob j : board.jobs.values()) {
            j.subscribers.computeIfPresent(vm, (v, s) -> s.voided());
            j.resubmissions.remove(vm);
        }
    }

    /** Marks the link of an entry VM as up again for its jobs; over a new link the VM forwards its jobs again instead. */
    void onEntryLinkConfirmed(VmIncarnation vm) {
        for (OwnedJob j : board.jobs.values()) {
            j.subscribers.computeIfPresent(vm, (v, s) -> linkedVms.isCurrent(v, s.link()) ? s.up() : s);
        }
    }

    void onEntryLinkDown(VmIncarnation vm, long link) {
        board.log("event=entry_unlinked vm=" + vm.address() + " link=" + link + " jobs=" + jobsAwaitedBy(vm));
        markDisconnected(vm, board.now);
    }

    /** Handles a link that may have been lost during a pause of this VM. */
    void onEntryLinkUnconfirmed(VmIncarnation vm) {
        markDisconnected(vm, board.now - (ENTRY_RECONNECT_TIMEOUT_MS - CONFIRMATION_TIMEOUT_MS));
    }

    private void markDisconnected(VmIncarnation vm, long sinceMs) {
        for (OwnedJob j : board.jobs.values()) {
            j.subscribers.computeIfPresent(vm, (v, s) -> s.down(sinceMs, linkedVms.heardMs(v, s, board.now)));
        }
    }

    private void removeDisconnected() {
        for (OwnedJob j : new ArrayList<>(board.jobs.values())) {
            if (!j.ending) {
                removeDisconnected(j);
            }
        }
    }

    /**
     * Removes the entry VMs of a job whose links have been down for too long or whose callers' deadlines have passed, and ends the
     * job after the last of them.
     */
    private void removeDisconnected(OwnedJob job) {
        List<VmIncarnation> lost = new ArrayList<>();
        job.subscribers.forEach((vm, s) -> {
            boolean down = s.downSinceMs() > 0 && board.now - s.downSinceMs() > ENTRY_RECONNECT_TIMEOUT_MS;
            boolean overdue = board.now >= s.untilMs();
            if (down || overdue || board.now - linkedVms.heardMs(vm, s, board.now) > MAX_UNHEARD_MS) {
                lost.add(vm);
            }
        });
        String why = "entry VM not linked";
        for (VmIncarnation vm : lost) {
            OwnedJob.Subscription s = job.subscribers.remove(vm);
            long awaitedUntilMs = Math.min(s.untilMs(), linkedVms.heardMs(vm, s, board.now));
            job.awaitedUntilMs = Math.max(job.awaitedUntilMs, awaitedUntilMs);
            why = board.now >= s.untilMs() ? "not awaited any more" : why;
            // If the VM was only late, its callers must learn that the job does not go on.
            board.sendToEntry(
                    vm, new PoolMessage.JobFinished(job.spec.id(), new JobOutcome.Unknown("link interrupted")));
        }
        if (job.subscribers.isEmpty()) {
            endJob(job, why);
        }
    }

    /** Stops the runs of a job that nobody waits for; the job is removed when no run of it is left. */
    private void endJob(OwnedJob job, String why) {
        board.log("event=job_ended job=" + job.spec.id() + " reason=\"" + why + "\" age_ms="
                + (board.now - job.arrivedAtMs) + " running=" + job.activeTasks);
        job.ending = true;
        for (OwnedTask t : job.tasks) {
            if (t.state == OwnedTask.State.STARTING || t.state == OwnedTask.State.RUNNING) {
                stop(t);
            }
        }
        removeIfEnded(job);
    }

    private void stop(OwnedTask t) {
        t.job.set(t, OwnedTask.State.STOPPING);
        t.stopAccepted = false;
        t.stopSentAtMs = board.now;
        board.emit(new PoolEffect.Stop(t.endpoint.registration, board.token, t.run()));
    }

    private void removeIfEnded(OwnedJob job) {
        if (!job.ending || job.activeTasks > 0) {
            return;
        }
        board.jobs.remove(job.spec.id());
        job.resubmissions.forEach(
                (vm, r) -> onForwardJob(vm, r.link(), r.message().delayed(board.now - r.receivedMs())));
    }

    private void sendOutcome(OwnedJob job, JobOutcome outcome) {
        outcomes.put(job.spec.id(), outcome, job.subscribers.keySet(), board.now);
        for (VmIncarnation vm : job.subscribers.keySet()) {
            board.sendToEntry(vm, new PoolMessage.JobFinished(job.spec.id(), outcome));
        }
        job.subscribers.clear();
        job.awaitedUntilMs = board.now;
    }

    private void completeIfDone(OwnedJob job) {
        if (!job.ending && job.doneTasks == job.spec.tasks()) {
            board.log("event=job_completed job=" + job.spec.id() + " age_ms=" + (board.now - job.arrivedAtMs));
            sendOutcome(job, new JobOutcome.Completed());
            board.jobs.remove(job.spec.id());
        }
    }

    private void releaseRun(OwnedTask t, OwnedTask.State next) {
        if (t.endpoint != null) {
            t.endpoint.remove(t);
        }
        t.startOrder = null;
        t.firstListedClockMs = 0;
        t.firstListedPercent = -1;
        t.job.set(t, next);
        board.placementDue = true;
        if (next == OwnedTask.State.WAITING && !t.job.ending) {
            leases.adopt(t.job);
        }
    }

    @Override
    public void onRunListed(OwnedTask t, int percent, long clockMs) {
        confirmStarted(t);
        if (slowRunDetector.observe(t, percent, clockMs)) {
            stop(t);
        }
    }

    private void confirmStarted(OwnedTask t) {
        if (t.state == OwnedTask.State.STARTING) {
            t.job.set(t, OwnedTask.State.RUNNING);
            t.job.mayHaveStarted = true;
            t.confirmedAtMs = board.now;
        }
    }

    @Override
    public void onRunEnded(OwnedTask t, RunEnd.Cause cause) {
        t.job.mayHaveStarted = true;
        LeasedEndpoint e = t.endpoint;
        switch (cause) {
            case DONE -> {
                EndpointHealth.onDone(e);
                if (t.startedAtMs != OwnedTask.START_UNKNOWN_MS) {
                    durations.observe(t.job.spec, e, board.now - t.startedAtMs, board.now);
                }
                releaseRun(t, OwnedTask.State.DONE);
                reportDone(t);
            }
            case FAILED -> {
                t.failures++;
                EndpointHealth.onFailed(e, board.now);
                board.log("event=task_failed run=" + t.run() + " endpoint=" + e.registration.id() + " failures="
                        + t.failures + " suspicion=" + e.suspicion);
                releaseRun(t, OwnedTask.State.WAITING);
                failIfAttemptsExhausted(t);
            }
            default -> {
                board.log("event=run_interrupted run=" + t.run() + " endpoint=" + e.registration.id());
                releaseRun(t, OwnedTask.State.WAITING);
            }
        }
        removeIfEnded(t.job);
    }

    private void reportDone(OwnedTask t) {
        if (t.job.ending) {
            return;
        }
        if (t.job.doneTasks < t.job.spec.tasks()) {
            for (VmIncarnation vm : t.job.subscribers.keySet()) {
                if (!vm.equals(board.self())) {
                    board.sendToEntry(vm, new PoolMessage.TaskDone(t.job.spec.id(), t.index));
                }
            }
        }
        completeIfDone(t.job);
    }

    private void failIfAttemptsExhausted(OwnedTask t) {
        if (t.failures >= t.job.spec.maxFailures() && !t.job.ending) {
            sendOutcome(t.job, new JobOutcome.Failed("a task failed " + t.failures + " times"));
            endJob(t.job, "failed");
        }
    }

    @Override
    public void onRunLost(OwnedTask t, String why) {
        t.job.mayHaveStarted = true;
        board.log("event=run_gone run=" + t.run() + " reason=\"" + why + "\" state=" + t.state);
        releaseRun(t, OwnedTask.State.WAITING);
        removeIfEnded(t.job);
    }

    @Override
    public boolean onOrphanRunDone(RunId run) {
        OwnedJob job = board.jobs.get(run.job());
        if (job == null || job.ending) {
            return false;
        }
        setDone(job, run.task());
        completeIfDone(job);
        return true;
    }

    @Override
    public void onFenced() {
        ownership.onFenced();
    }

    void onStartEnded(PoolEvent.StartEnded event) {
        RunId run = event.start().run();
        OwnedJob job = board.jobs.get(run.job());
        if (event.result() == StartResult.FENCED) {
            onStartFenced(event.start());
        }
        if (job == null || run.task() >= job.tasks.size()) {
            return;
        }
        OwnedTask t = job.tasks.get(run.task());
        if (!event.start().equals(t.startOrder)) {
            return;
        }
        onStartResult(t, event);
        removeIfEnded(job);
    }

    private void onStartFenced(PoolEffect.Start start) {
        LeasedEndpoint e = board.endpoints.get(start.endpoint().id());
        if (start.token() == board.token && e != null) {
            e.fenced = true;
            ownership.onFenced();
        }
    }

    private void onStartResult(OwnedTask t, PoolEvent.StartEnded event) {
        LeasedEndpoint e = t.endpoint;
        switch (event.result()) {
            case STARTED -> {
                confirmStarted(t);
            }
            case UNANSWERED -> {
                if (t.state == OwnedTask.State.STARTING) {
                    t.job.mayHaveStarted = true;
                    board.log("event=start_unanswered run=" + t.run() + " endpoint=" + e.registration.id());
                    EndpointHealth.onNotStarted(e, event.result(), board.now);
                    stop(t);
                }
            }
            default -> {
                board.log("event=start_rejected run=" + t.run() + " endpoint=" + e.registration.id() + " result="
                        + event.result());
                EndpointHealth.onNotStarted(e, event.result(), board.now);
                if (event.result() == StartResult.SUPERSEDED) {
                    skipAttempts(t);
                }
                releaseRun(t, OwnedTask.State.WAITING);
                if (event.result() == StartResult.INVALID && !t.job.ending) {
                    sendOutcome(t.job, new JobOutcome.Failed("an endpoint calls the task invalid"));
                    endJob(t.job, "invalid");
                }
            }
        }
    }

    /** Skips the attempt numbers of an owner that is unknown to this one. */
    private void skipAttempts(OwnedTask t) {
        LeasedEndpoint e = t.endpoint;
        e.remove(t);
        t.attempt += OwnedJob.ATTEMPTS_PER_OWNER;
    }

    void onStopEnded(PoolEvent.StopEnded event) {
        RunId run = event.stop().run();
        OwnedJob job = board.jobs.get(run.job());
        if (job == null || run.task() >= job.tasks.size()) {
            return;
        }
        OwnedTask t = job.tasks.get(run.task());
        boolean current = t.state == OwnedTask.State.STOPPING
                && t.run().equals(run)
                && t.endpoint.registration.id().equals(event.stop().endpoint().id());
        if (current && event.accepted() && !t.stopAccepted) {
            t.stopAccepted = true;
            t.confirmedAtMs = board.now;
        }
    }

    void onTick() {
        removeDisconnected();
        outcomes.expire(board.now);
        for (OwnedJob j : board.jobs.values()) {
            for (OwnedTask t : j.tasks) {
                retryStop(t);
            }
        }
        planner.observe(board.endpoints.values(), board.now);
        refuseTooLate();
        board.placementDue = true;
    }

    private void retryStop(OwnedTask t) {
        if (t.state == OwnedTask.State.STOPPING
                && !t.stopAccepted
                && board.now - t.stopSentAtMs >= STOP_RETRY_DELAY_MS) {
            t.stopSentAtMs = board.now;
            board.emit(new PoolEffect.Stop(t.endpoint.registration, board.token, t.run()));
        }
    }

    /** Refuses jobs that have not started and can no longer be answered in time to be of use. */
    private void refuseTooLate() {
        for (OwnedJob j : new ArrayList<>(board.jobs.values())) {
            if (!j.ending && !j.mayHaveStarted && j.activeTasks == 0 && planner.isTooLate(j, board.now)) {
                JobOutcome outcome = j.resumed
                        ? new JobOutcome.Unknown("its runs under the last owner are unknown")
                        : new JobOutcome.Refused("no room in time", JobAdmission.MIN_RETRY_AFTER_MS);
                sendOutcome(j, outcome);
                endJob(j, "no room in time");
            }
        }
    }

    /** Starts the tasks for which there is room now. */
    void placeTasks() {
        board.placementDue = false;
        duplicateRunGuard.beginPass();
        List<OwnedJob> waiting = new ArrayList<>();
        for (OwnedJob j : board.jobs.values()) {
            if (j.waitingTasks > 0 && !j.ending && isAwaited(j) && duplicateRunGuard.mayStart(j)) {
                waiting.add(j);
            }
        }
        duplicateRunGuard.endPass();
        if (!waiting.isEmpty()) {
            Map<OwnedJob, List<PlacementPlanner.Placement>> started = new LinkedHashMap<>();
            planner.plan(waiting, board.endpoints.values(), board.now, p -> {
                start(p);
                started.computeIfAbsent(p.task().job, j -> new ArrayList<>()).add(p);
            });
            started.forEach(this::logStarted);
        }
    }

    private void logStarted(OwnedJob job, List<PlacementPlanner.Placement> placed) {
        StringJoiner runs = new StringJoiner(",");
        placed.stream()
                .limit(MAX_LOGGED_RUNS)
                .forEach(p -> runs.add(
                        p.task().run() + "@" + p.endpoint().registration.id()));
        String awaitedBy = awaitingVm(job)
                .map(e ->
                        " vm=" + e.getKey().address() + " link=" + e.getValue().link() + " heard_ms_ago="
                                + (board.now - linkedVms.heardMs(e.getKey(), e.getValue(), board.now)) + " awaited_ms="
                                + describeWait(e.getValue().untilMs() - board.now))
                .orElse("");
        board.log("event=tasks_started job=" + job.spec.id() + " tasks=" + placed.size() + " runs=" + runs + " token="
                + board.token + " age_ms=" + (board.now - job.arrivedAtMs) + " resumed=" + job.resumed + awaitedBy);
    }

    private static String describeWait(long ms) {
        return ms >= PoolMessage.ForwardJob.UNLIMITED / 2 ? "unlimited" : Long.toString(ms);
    }

    /** Returns whether an entry VM certainly waits for the job at this owner. */
    private boolean isAwaited(OwnedJob job) {
        return awaitingVm(job).isPresent();
    }

    /** Returns an entry VM that certainly waits for the job at this owner, if there is one. */
    private Optional<Map.Entry<VmIncarnation, OwnedJob.Subscription>> awaitingVm(OwnedJob job) {
        for (Map.Entry<VmIncarnation, OwnedJob.Subscription> e : job.subscribers.entrySet()) {
            OwnedJob.Subscription s = e.getValue();
            boolean awaited = s.downSinceMs() == 0 && board.now < s.untilMs();
            if (awaited && linkedVms.mayStartFor(e.getKey(), s.link())) {
                return Optional.of(e);
            }
        }
        return Optional.empty();
    }

    private void start(PlacementPlanner.Placement place) {
        OwnedTask t = place.task();
        LeasedEndpoint e = place.endpoint();
        t.attempt++;
        t.startedAtMs = board.now;
        t.job.set(t, OwnedTask.State.STARTING);
        e.add(t);
        long deadline = e.extendLease(board.now, leaseLimit.leaseMs(e, board.now));
        t.startOrder = new PoolEffect.Start(e.registration, board.token, t.run(), t.job.spec.payload(), deadline);
        board.emit(t.startOrder);
    }

    /** Returns the number of jobs without a started task, by queue. */
    Map<String, Integer> waitingJobsByQueue() {
        Map<String, Integer> counts = new HashMap<>();
        for (OwnedJob j : board.jobs.values()) {
            if (!j.hasStartedTasks() && !j.ending) {
                counts.merge(j.spec.queue(), 1, Integer::sum);
            }
        }
        return counts;
    }
}
