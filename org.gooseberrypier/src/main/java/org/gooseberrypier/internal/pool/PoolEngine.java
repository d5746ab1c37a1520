package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.SchedulingPolicy;
import org.gooseberrypier.pool.VmIncarnation;

/** Gives each event to the controllers that it concerns, in a fixed order. */
public final class PoolEngine {

    /** Distance of the owner's heartbeats, in milliseconds. */
    private static final long HEARTBEAT_MS = 100;

    /** A VM that has just opened its link misses a list that comes before it knows so; it is sent again, in milliseconds. */
    private static final long PEERS_MS = 1_000;

    private final PoolBoard board;
    private final OwnershipController ownership;
    private final EntryController entry;
    private final JobController jobs;
    /** The VMs that have a link to this one, and since when, in milliseconds. */
    private final Map<VmIncarnation, Long> attached = new LinkedHashMap<>();

    private boolean wasOwner;
    private long servedToken;
    private String servedOwner = "";
    private boolean peersChanged = true;
    private long peersDueMs;

    /**
     * Creates the engine of one VM.
     *
     * @param self the VM
     * @param rules how work waits and is refused
     * @param remotePenalty how many times as long a task takes away from its data, at least 1
     * @param startMs the steady clock now, in milliseconds
     * @param sink where effects go
     */
    public PoolEngine(
            VmIncarnation self, SchedulingPolicy rules, double remotePenalty, long startMs, Consumer<PoolEffect> sink) {
        board = new PoolBoard(self, sink);
        board.now = startMs;
        ownership = new OwnershipController(board);
        entry = new EntryController(board);
        jobs = new JobController(board, ownership, rules, remotePenalty);
    }

    /**
     * Handles an event.
     *
     * @param event what happened
     * @param nowMs the steady clock, in milliseconds
     */
    public void handle(PoolEvent event, long nowMs) {
        board.now = nowMs;
        dispatch(event);
        settle();
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
            fromOwner(e);
        } else if (event instanceof PoolEvent.PauseDetected) {
            ownership.onPauseDetected();
            attached.keySet().forEach(jobs::onEntryLinkDown);
        } else if (event instanceof PoolEvent.StopRequested) {
            ownership.handOverOwnership(successors());
        } else {
            dispatchToOwner(event);
        }
    }

    private void dispatchToOwner(PoolEvent event) {
        if (event instanceof PoolEvent.EntryLinkUp e) {
            attached.put(e.vm(), board.now);
            peersChanged = true;
        } else if (event instanceof PoolEvent.EntryLinkConfirmed e) {
            jobs.onEntryLinkConfirmed(e.vm());
        } else if (event instanceof PoolEvent.EntryLinkDown e) {
            attached.remove(e.vm());
            peersChanged = true;
            jobs.onEntryLinkDown(e.vm());
        } else if (event instanceof PoolEvent.EntryMessageReceived e) {
            fromEntry(e.vm(), e.message());
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

    private void fromOwner(PoolEvent.OwnerMessageReceived e) {
        if (e.peer().equals(board.linkedOwner)) {
            ownership.onOwnerMessage(e.message());
            entry.onMessage(e.message());
        }
    }

    private void fromEntry(VmIncarnation vm, PoolMessage.ToOwner message) {
        if (!board.isOwner()) {
            board.sendToEntry(vm, new PoolMessage.NotOwner(board.token));
        } else if (message instanceof PoolMessage.ForwardJob p) {
            jobs.onForwardJob(vm, p);
        } else if (message instanceof PoolMessage.WithdrawJob w) {
            jobs.onWithdrawJob(vm, w.job());
        }
    }

    private void tick() {
        ownership.onTick();
        entry.onTick();
        if (board.isOwner()) {
            jobs.leases().onTick();
            jobs.onTick();
            heartbeat();
            ownership.offerOwnership(steadySuccessors());
        }
    }

    private void heartbeat() {
        if (!ownership.tryStartHeartbeat(HEARTBEAT_MS)) {
            return;
        }
        List<VmIncarnation> peers = peersChanged || board.now >= peersDueMs ? successors() : List.of();
        peersDueMs = peers.isEmpty() ? peersDueMs : board.now + PEERS_MS;
        peersChanged = false;
        var beat = new PoolMessage.Heartbeat(board.token, peers, jobs.waitingJobsByQueue());
        for (VmIncarnation vm : attached.keySet()) {
            board.sendToEntry(vm, beat);
        }
        entry.onMessage(beat);
    }

    /** Returns the VMs whose links have lasted for a while. */
    private List<VmIncarnation> steadySuccessors() {
        List<VmIncarnation> steady = successors();
        steady.removeIf(vm -> board.now - attached.get(vm) < OwnershipController.MIN_STABLE_MS);
        return steady;
    }

    private List<VmIncarnation> successors() {
        List<VmIncarnation> peers = new ArrayList<>(attached.keySet());
        peers.sort(VmIncarnation.SUCCESSION_ORDER);
        return peers;
    }

    /** Follows changes of the owner, passes messages within this VM, and places tasks, until nothing is left. */
    private void settle() {
        followRole();
        boolean busy = true;
        while (busy) {
            busy = false;
            for (PoolMessage.ToOwner m : board.drainToOwner()) {
                fromEntry(board.self(), m);
                busy = true;
            }
            for (PoolMessage.ToEntry m : board.drainToEntry()) {
                entry.onMessage(m);
                busy = true;
            }
            if (board.isOwner() && board.placementDue && board.unconfirmedSinceMs == 0) {
                jobs.placeTasks();
            }
        }
    }

    private void followRole() {
        boolean newToken = board.isOwner() && board.token != servedToken;
        if (board.isOwner() && !wasOwner) {
            wasOwner = true;
            peersChanged = true;
            jobs.leases().onOwnershipBegan();
        } else if (newToken) {
            jobs.leases().onOwnershipBegan();
        } else if (!board.isOwner() && wasOwner) {
            wasOwner = false;
            for (VmIncarnation vm : attached.keySet()) {
                board.sendToEntry(vm, new PoolMessage.NotOwner(board.token));
            }
            jobs.leases().onOwnershipEnded();
            jobs.end();
        }
        String owner = board.isOwner() ? "self" : board.linkedOwner;
        boolean changed = !owner.equals(servedOwner);
        servedOwner = owner;
        servedToken = board.isOwner() ? board.token : 0;
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
     * @return whether jobs can be handed over
     */
    public boolean hasOwner() {
        return board.hasOwner();
    }

    /**
     * Returns whether this VM owns endpoints.
     *
     * @return whether it does
     */
    public boolean isOwner() {
        return board.isOwner();
    }

    /**
     * Returns how many jobs wait in a queue without a started task.
     *
     * @param queue the queue
     * @return jobs
     */
    public int waitingJobs(String queue) {
        return entry.waitingJobs(queue);
    }
}
