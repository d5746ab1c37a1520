package org.gooseberrypier.internal.placement;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.board.Job;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Controller;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.TaskRef;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.ticket.Configuration;

/**
 * Queues the tasks of admitted jobs and starts each of them on one endpoint.
 *
 * <p>After each event and each timer, starts as many waiting tasks as the free slots and the quotas of the teams allow.
 */
public final class PlacementController implements Controller {

    private final Blackboard board;
    private final VmShares shares;
    private final PlacementPolicy policy;
    private final EndpointIndex index;
    private final TaskQueue queue;
    private final EndpointHealthMonitor health;
    private final RetryPolicy retryPolicy;
    private final TeamQuotas quotas;
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private Configuration appliedConfiguration = Configuration.NONE;
    private PlacingContext placingContext;

    /**
     * Creates the controller.
     *
     * @param board the shared state of the engine
     */
    public PlacementController(Blackboard board) {
        this.board = board;
        shares = new VmShares(board);
        policy = PlacementPolicies.create(board, shares);
        index = new EndpointIndex(board, policy);
        queue = new TaskQueue(board, index);
        health = new EndpointHealthMonitor(board, index);
        retryPolicy = new RetryPolicy(board);
        quotas = new TeamQuotas(board, shares);
    }

    @Override
    public void handle(Event event, Context engine) {
        if (placingContext == null || !placingContext.wraps(engine)) {
            placingContext = new PlacingContext(engine, this::placeChangedPools);
        }
        process(event, placingContext);
        placeChangedPools(placingContext);
    }

    private void process(Event event, Context context) {
        Configuration inForce = board.tickets().inForce();
        if (inForce != appliedConfiguration) {
            appliedConfiguration = inForce;
            applyConfiguration(inForce, context);
        }
        policy.handle(event, context);
        if (event instanceof InternalEvent.JobAdmitted a) {
            admit(a, context);
        } else if (event instanceof InternalEvent.JobWithdrawn w) {
            queue.withdraw(w.job(), w.reason(), context);
        } else if (event instanceof EndpointEvent.Replied r) {
            handleReply(r, context);
        } else if (event instanceof EndpointEvent.Probed p) {
            health.handleProbeResult(p.endpoint(), p.alive(), context);
        }
    }

    private void applyConfiguration(Configuration config, Context context) {
        shares.setVms(config.vms().values());
        quotas.applyConfiguration(config);
        board.queue().setVmCount(shares.vmCount());
        index.applyConfiguration(config, context);
        policy.configurationChanged(context);
        index.pools().values().forEach(p -> p.retainTeams(board.quotas().teams().keySet()));
        queue.withdrawUnserved(context);
    }

    private void admit(InternalEvent.JobAdmitted admitted, Context context) {
        Job job = board.submissions().jobs().get(admitted.job());
        if (job != null) {
            queue.admit(job, context);
        }
    }

    private void placeChangedPools(Context context) {
        WorkPool pool = index.pollChanged();
        while (pool != null) {
            placeWaitingTasks(pool, context);
            pool = index.pollChanged();
        }
    }

    private void placeWaitingTasks(WorkPool pool, Context context) {
        JobTasks job = pool.peek();
        while (job != null && startNext(job, pool, context)) {
            job = pool.peek();
        }
        if (job != null) {
            policy.noFreeEndpoint(pool, context);
        } else if (pool.state().waiting() > 0) {
            TeamQueue atQuota = pool.firstAtQuota();
            if (atQuota != null) {
                quotas.quotaReached(atQuota.team(), context);
            }
        }
    }

    private boolean startNext(JobTasks job, WorkPool pool, Context context) {
        if (context.nowMs() >= job.job().deadlineAtMs()) {
            queue.withdraw(job.job().id(), Reason.DEADLINE, context);
            return true;
        }
        int task = job.peek();
        EndpointWork target = chooseEndpoint(job, job.spec(task), pool, context);
        if (target == null) {
            return false;
        }
        start(job, task, target, context);
        return true;
    }

    private EndpointWork chooseEndpoint(JobTasks job, TaskSpec spec, WorkPool pool, Context context) {
        if (isRepeatable(job)) {
            EndpointWork onProbation = pool.findOnProbation(spec.resources(), index);
            if (onProbation != null) {
                return onProbation;
            }
        }
        EndpointWork target = pool.findFree(spec.resources(), index);
        while (target != null && health.probeIfIdle(target.endpoint(), context)) {
            target = pool.findFree(spec.resources(), index);
        }
        return target;
    }

    private static boolean isRepeatable(JobTasks job) {
        return job.job().submission().repeatable();
    }

    private void start(JobTasks job, int task, EndpointWork target, Context context) {
        long id = context.nextId();
        EndpointState endpoint = target.endpoint();
        TaskSpec spec = job.spec(task);
        int slots = CapacityModel.of(endpoint.spec()).requiredSlots(endpoint.spec(), spec.resources());
        checkSlots(endpoint, slots);
        if (job.mayHaveRun(task)) {
            board.counters().increment(Counter.WASTED_REPEATED);
        }
        queue.start(job, task, id);
        attempts.put(id, new Attempt(id, job, task, target, slots, context.nowMs()));
        endpoint.addTask(slots);
        job.queue().team().addRunning(1);
        job.queue().pool().state().addRunning(1);
        job.queue().pool().chargeService(job.queue(), job.expectedTaskMs());
        policy.taskStarted(endpoint);
        retryPolicy.taskStarted();
        board.counters().increment(Counter.TASKS_STARTED);
        index.refresh(endpoint, context);
        context.emit(new Effect.StartTask(
                id,
                endpoint.spec().id(),
                endpoint.spec().address(),
                job.job().submission().work(),
                new TaskRef(job.job().id(), task),
                spec,
                job.job().deadlineAtMs()));
    }

    private void checkSlots(EndpointState endpoint, int slots) {
        if (!endpoint.isServing() || endpoint.usedSlots() + slots > index.usableSlots(endpoint)) {
            throw new InvariantViolationException("no free slots for a start on " + endpoint.spec() + ": used "
                    + endpoint.usedSlots() + ", required " + slots + ", usable " + index.usableSlots(endpoint));
        }
    }

    private void handleReply(EndpointEvent.Replied replied, Context context) {
        Attempt attempt = attempts.remove(replied.attempt());
        if (attempt == null) {
            board.counters().increment(Counter.WASTED_LATE);
            return;
        }
        EndpointState endpoint = attempt.target().endpoint();
        releaseSlots(attempt, context);
        recordRunTime(attempt, replied.reply(), context);
        health.handleReply(endpoint, replied.reply(), context);
        endOrRetry(attempt, replied.reply(), context);
        index.refresh(endpoint, context);
        index.completeDrain(endpoint, context);
    }

    private void releaseSlots(Attempt attempt, Context context) {
        EndpointState endpoint = attempt.target().endpoint();
        TeamQueue team = attempt.job().queue();
        boolean atQuota = !team.team().mayRun();
        endpoint.removeTask(attempt.slots());
        team.team().addRunning(-1);
        team.pool().state().addRunning(-1);
        if (endpoint.outstanding() < 0
                || endpoint.usedSlots() < 0
                || team.team().running() < 0) {
            throw new InvariantViolationException("number of running tasks or used slots became negative on "
                    + endpoint.spec().id());
        }
        if (atQuota) {
            index.markAllChanged();
        }
        index.markChanged(team.pool());
        policy.slotsReleased(endpoint, context);
    }

    private void recordRunTime(Attempt attempt, TaskReply reply, Context context) {
        if (context.nowMs() > attempt.job().job().deadlineAtMs()) {
            board.counters().increment(Counter.WASTED_AFTER_DEADLINE);
        }
        if (!(reply instanceof TaskReply.Succeeded)) {
            return;
        }
        TeamQueue team = attempt.job().queue();
        TaskSpec spec = attempt.job().spec(attempt.taskIndex());
        double runMs = Math.max(1, context.nowMs() - attempt.startedAtMs());
        attempt.target().addSample(runMs / Math.max(1, team.expectedRunMs(spec)));
        team.addSample(spec, runMs);
        team.pool().state().addSample(runMs);
    }

    private void endOrRetry(Attempt attempt, TaskReply reply, Context context) {
        board.counters().increment(outcomeCounter(reply));
        if (reply instanceof TaskReply.NotStarted) {
            board.counters().increment(Counter.WASTED_REFUSED);
        }
        long delayMs = retryPolicy.delayMs(attempt, reply, context);
        if (delayMs == RetryPolicy.NO_RETRY) {
            queue.end(attempt.job(), attempt.taskIndex(), reply, context);
            withdrawIfNotCompletable(attempt.job().job().id(), reply, context);
            return;
        }
        if (!(reply instanceof TaskReply.NotStarted)) {
            attempt.job().setEarlierReply(attempt.taskIndex(), reply);
        }
        queue.scheduleRetry(attempt.job(), attempt.taskIndex(), delayMs, context);
    }

    /** Withdraws the other tasks of a job of which one task did not succeed, since the job can no longer complete. */
    private void withdrawIfNotCompletable(JobId job, TaskReply reply, Context context) {
        if (reply instanceof TaskReply.Failed) {
            queue.withdraw(job, Reason.TASK_FAILED, context);
        } else if (reply instanceof TaskReply.Lost) {
            queue.withdraw(job, Reason.ANSWER_LOST, context);
        }
    }

    private static Counter outcomeCounter(TaskReply reply) {
        if (reply instanceof TaskReply.Succeeded) {
            return Counter.TASKS_SUCCEEDED;
        }
        if (reply instanceof TaskReply.Failed) {
            return Counter.TASKS_FAILED;
        }
        return reply instanceof TaskReply.Lost ? Counter.TASKS_LOST : Counter.TASKS_NOT_STARTED;
    }
}
