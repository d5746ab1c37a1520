package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.SchedulingPolicy;
import org.gooseberrypier.pool.VmIncarnation;

/** Dispatches each event to the controllers that it concerns, in a fixed order. */
public final class PoolEngine {

    /** Interval between the heartbeats of the owner, in milliseconds. */
    private static final long HEARTBEAT_INTERVAL_MS = 100;

    /**
     * Interval at which the successors are sent again although they have not changed, in milliseconds. A VM that has just
     * opened its link misses a list that arrives before the VM knows that the link is up.
     */
    private static final long SUCCESSORS_INTERVAL_MS = 1_000;

    /** Stands for the link of this VM to itself. */
    private static final long OWN_LINK = 0;

    private final PoolBoard board;
    private final OwnershipController ownership;
    private final EntryController entry;
    private final JobController jobs;
    private final LinkedVms linkedVms;

    private boolean wasOwner;
    private long appliedToken;
    private String appliedOwner = "";
    private boolean successorsChanged = true;
    private long successorsDueMs;

    /**
     * Creates the engine of one VM.
     *
     * @param self the VM
     * @param policy the order of waiting jobs and when jobs are refused
     * @param remotePenalty the factor on the duration of a task that runs away from its data, at least 1
     * @param startMs the current time of the steady clock, in milliseconds
     * @param sink receives the effects
     */
    public PoolEngine(
            VmIncarnation self,
            SchedulingPolicy policy,
            double remotePenalty,
            long startMs,
            Consumer<PoolEffect> sink) {
        board = new PoolBoard(self, sink);
        board.now = startMs;
        ownership = new OwnershipController(board);
        entry = new EntryController(board);
        linkedVms = new LinkedVms(board);
        jobs = new JobController(board, ownership, linkedVms, policy, remotePenalty);
    }

    /**
     * Handles an event. Tasks are placed after the last of several events that follow each other without a wait, and after
     * each tick. Load pattern: many endpoints answer at the same time while many jobs wait, as after a restart of all VMs;
     * a placement after each answer takes most of the processor and sees only the endpoints that answered first.
     *
     * @param event what happened
     * @param nowMs the current time of the steady clock, in milliseconds
     * @param moreFollow whether another event follows without a wait
     */
    public void handle(PoolEvent event, long nowMs, boolean moreFollow) {
        boolean paused = event instanceof PoolEvent.PauseDetected || linkedVms.isPauseBefore(nowMs);
        long silentMs = nowMs - board.now;
        board.now = nowMs;
        entry.onIdle(silentMs);
        if (event instanceof PoolEvent.PauseDetected p) {
            entry.onClocksParted(p.pausedMs());
        }
        if (paused) {
            onPause(silentMs);
        }
        entry.endOverdueCalls();
        dispatch(event);
        processPending(!moreFollow || event instanceof PoolEvent.Tick);
    }

    private void onPause(long silentMs) {
        board.log("event=pause_detected owner=" + board.isOwner() + " since_last_event_ms=" + silentMs);
        ownership.onPauseDetected();
        linkedVms.onPause(board.now - silentMs).forEach(jobs::onEntryLinkUnconfirmed);
    }

    private void dispatch(PoolEvent event) {
        if (event instanceof PoolEvent.Tick) {
            tick();
        } else if (event instanceof PoolEvent.JobSubmitted e) {
            entry.onJobSubmitted(e);
        } else if (event instanceof PoolEvent.CallerDisconnected e) {
            entry.onCallerDisconnected(e.call());
        } else if (event instanceof PoolEvent.JobCancelled e) {
            entry.onJobCancelled(e.job());
        } else if (event instanceof PoolEvent.OwnershipRead e) {
            ownership.onOwnershipRead(e);
        } else if (event instanceof PoolEvent.ClaimEnded e) {
            ownership.onClaimEnded(e);
        } else if (event instanceof PoolEvent.OwnerLinkUp e) {
            ownership.onOwnerLinkUp(e);
        } else if (event instanceof PoolEvent.OwnerLinkDown e) {
            ownership.onOwnerLinkDown(e);
        } else if (event instanceof PoolEvent.OwnerMessageReceived e) {
            onOwnerMessage(e);
        } else if (event instanceof PoolEvent.LoopBlocked e) {
            ownership.onLoopBlocked(e.blockedMs());
        } else if (event instanceof PoolEvent.StopRequested) {
            ownership.handOverOwnership(successors());
        } else {
            dispatchToOwner(event);
        }
    }

    private void dispatchToOwner(PoolEvent event) {
        if (event instanceof PoolEvent.EntryLinkUp e) {
            jobs.onEntryLinkUp(e.vm(), e.link(), linkedVms.all().contains(e.vm()));
            linkedVms.onUp(e.vm(), e.link(), e.acknowledgesHeartbeats());
            successorsChanged = true;
        } else if (event instanceof PoolEvent.CallersChecked e) {
            linkedVms.onCallersChecked(e.requestedAtMs());
        } else if (event instanceof PoolEvent.EntryLinkDown e) {
            onEntryLinkDown(e);
        } else if (event instanceof PoolEvent.EntryMessageReceived e) {
            onEntryMessageReceived(e);
        } else if (event instanceof PoolEvent.EndpointsRead e) {
            jobs.leases().onEndpointsRead(e);
        } else if (!board.isOwner()) {
            return;
        } else if (event instanceof PoolEvent.LeaseRenewalEnded e) {
            jobs.leases().onLeaseRenewalEnded(e);
        } else if (event instanceof PoolEvent.StartEnded e) {
            jobs.onStartEnded(e);
        } else if (event instanceof PoolEvent.StopEnded e) {
            jobs.onStopEnded(e);
        }
    }

    private void onEntryLinkDown(PoolEvent.EntryLinkDown e) {
        if (linkedVms.isCurrent(e.vm(), e.link())) {
            jobs.onEntryLinkDown(e.vm(), e.link());
            linkedVms.onDown(e.vm());
            successorsChanged = true;
        }
    }

    private void onEntryMessageReceived(PoolEvent.EntryMessageReceived e) {
        if (linkedVms.isCurrent(e.vm(), e.link())) {
            onEntryMessage(e.vm(), e.link(), e.message());
        } else {
            board.log("event=outdated_message vm=" + e.vm().address() + " link=" + e.link() + " message="
                    + e.message().getClass().getSimpleName());
        }
    }

    private void onOwnerMessage(PoolEvent.OwnerMessageReceived e) {
        if (e.message() instanceof PoolMessage.JobNotAdmitted) {
            // Several of them may follow the first NotOwner, by which the link has ended; each is true of its forward.
            entry.onMessage(e.message());
        } else if (ownership.isCurrentLink(e.link()) && e.peer().equals(board.linkedOwner)) {
            ownership.onOwnerMessage(e.message());
            entry.onMessage(e.message());
            if (e.message() instanceof PoolMessage.Heartbeat h) {
                entry.onOwnerClock(h.token(), h.sentAtMs());
                board.sendToOwner(new PoolMessage.HeartbeatReceived(h.sentAtMs()));
            }
        }
    }

    private void onEntryMessage(VmIncarnation vm, long link, PoolMessage.ToOwner message) {
        if (!board.isOwner()) {
            reject(vm, message);
        } else if (message instanceof PoolMessage.ForwardJob p) {
            jobs.onForwardJob(vm, link, p);
        } else if (message instanceof PoolMessage.WithdrawJob w) {
            jobs.onWithdrawJob(vm, w.job());
        } else if (message instanceof PoolMessage.ExtendJob x) {
            jobs.onExtendJob(vm, x);
        } else if (message instanceof PoolMessage.ForwardsBegin) {
            jobs.onForwardsBegin(vm);
        } else if (message instanceof PoolMessage.HeartbeatReceived h && linkedVms.onAcknowledged(vm, h.sentAtMs())) {
            jobs.onEntryLinkConfirmed(vm);
        }
    }

    /** Answers a message that is meant for the owner; a VM that only has opened its link may wait for the claim of this VM. */
    private void reject(VmIncarnation vm, PoolMessage.ToOwner message) {
        if (message instanceof PoolMessage.ForwardsBegin) {
            return;
        }
        if (message instanceof PoolMessage.ForwardJob p) {
            board.sendToEntry(vm, new PoolMessage.JobNotAdmitted(p.job().id()));
        }
        board.sendToEntry(vm, new PoolMessage.NotOwner(board.token));
    }

    private void tick() {
        ownership.onTick();
        entry.onTick();
        if (board.isOwner()) {
            jobs.leases().onTick();
            jobs.onTick();
            sendHeartbeat();
            ownership.offerOwnership(stableSuccessors());
        }
    }

    private void sendHeartbeat() {
        if (!ownership.tryStartHeartbeat(HEARTBEAT_INTERVAL_MS)) {
            return;
        }
        List<VmIncarnation> vms = successorsChanged || board.now >= successorsDueMs ? successors() : List.of();
        successorsDueMs = vms.isEmpty() ? successorsDueMs : board.now + SUCCESSORS_INTERVAL_MS;
        successorsChanged = false;
        var heartbeat = new PoolMessage.Heartbeat(
                board.token,
                board.now,
                vms,
                jobs.waitingJobsByQueue(),
                jobs.leases().isListOutdated());
        for (VmIncarnation vm : linkedVms.all()) {
            board.sendToEntry(vm, heartbeat);
        }
        entry.onMessage(heartbeat);
    }

    /** Returns the successors whose links have been up for the minimum stable time. */
    private List<VmIncarnation> stableSuccessors() {
        List<VmIncarnation> stable = successors();
        stable.removeIf(vm -> linkedVms.linkedMs(vm) < OwnershipController.MIN_STABLE_MS);
        return stable;
    }

    private List<VmIncarnation> successors() {
        List<VmIncarnation> vms = new ArrayList<>(linkedVms.all());
        vms.sort(VmIncarnation.SUCCESSION_ORDER);
        return vms;
    }

    /**
     * Applies changes of ownership, then delivers messages within this VM and, if asked for, places tasks until no message is
     * left.
     */
    private void processPending(boolean place) {
        applyRole();
        boolean pending = true;
        while (pending) {
            pending = false;
            for (PoolMessage.ToOwner m : board.drainToOwner()) {
                onEntryMessage(board.self(), OWN_LINK, m);
                pending = true;
            }
            for (PoolMessage.ToEntry m : board.drainToEntry()) {
                entry.onMessage(m);
                pending = true;
            }
            if (place && board.isOwner() && board.placementDue && board.unconfirmedSinceMs == 0) {
                jobs.placeTasks();
            }
        }
    }

    private void applyRole() {
        boolean newToken = board.isOwner() && board.token != appliedToken;
        if (board.isOwner() && !wasOwner) {
            wasOwner = true;
            successorsChanged = true;
            jobs.leases().onOwnershipBegan();
        } else if (newToken) {
            jobs.leases().onOwnershipBegan();
        } else if (!board.isOwner() && wasOwner) {
            wasOwner = false;
            for (VmIncarnation vm : linkedVms.all()) {
                board.sendToEntry(vm, new PoolMessage.NotOwner(board.token));
            }
            jobs.leases().onOwnershipEnded();
            jobs.end();
        }
        String owner = board.isOwner() ? "self" : board.linkedOwner;
        boolean changed = !owner.equals(appliedOwner);
        appliedOwner = owner;
        appliedToken = board.isOwner() ? board.token : 0;
        if (changed) {
            entry.onOwnerLinkChanged(false);
            if (!owner.isEmpty()) {
                entry.onOwnerLinkChanged(true);
            }
        }
    }

    /**
     * Returns whether this VM is the owner or has a link to it.
     *
     * @return whether jobs can be forwarded to an owner
     */
    public boolean hasOwner() {
        return board.hasOwner();
    }

    /**
     * Returns whether this VM owns endpoints.
     *
     * @return whether it owns the pool or the endpoints of its zone
     */
    public boolean isOwner() {
        return board.isOwner();
    }

    /**
     * Returns the number of jobs of a queue that have no started task.
     *
     * @param queue the name of the queue
     * @return the number of jobs, as of the owner's last heartbeat
     */
    public int waitingJobs(String queue) {
        return entry.waitingJobs(queue);
    }
}
