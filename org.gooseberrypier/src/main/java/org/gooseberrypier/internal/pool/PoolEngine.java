package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.PoolRules;
import org.gooseberrypier.pool.VmContact;

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
    private final Map<VmContact, Long> attached = new LinkedHashMap<>();

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
    public PoolEngine(VmContact self, PoolRules rules, double remotePenalty, long startMs, Consumer<PoolEffect> sink) {
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
        } else if (event instanceof PoolEvent.Submitted e) {
            entry.onSubmitted(e);
        } else if (event instanceof PoolEvent.CallerGone e) {
            entry.onCallerGone(e.call());
        } else if (event instanceof PoolEvent.Cancelled e) {
            entry.onCancelled(e.job());
        } else if (event instanceof PoolEvent.OwnershipRead e) {
            ownership.onRead(e);
        } else if (event instanceof PoolEvent.ClaimEnded e) {
            ownership.onClaimEnded(e);
        } else if (event instanceof PoolEvent.OwnerLinkUp e) {
            ownership.onLinkUp(e);
        } else if (event instanceof PoolEvent.OwnerLinkDown e) {
            ownership.onLinkDown(e);
        } else if (event instanceof PoolEvent.FromOwner e) {
            fromOwner(e);
        } else if (event instanceof PoolEvent.Woke) {
            ownership.onWoke();
            attached.keySet().forEach(jobs::onDetached);
        } else if (event instanceof PoolEvent.StopAsked) {
            ownership.handOver(successors());
        } else {
            dispatchToOwner(event);
        }
    }

    private void dispatchToOwner(PoolEvent event) {
        if (event instanceof PoolEvent.EntryAttached e) {
            attached.put(e.vm(), board.now);
            peersChanged = true;
        } else if (event instanceof PoolEvent.EntryConfirmed e) {
            jobs.onConfirmed(e.vm());
        } else if (event instanceof PoolEvent.EntryDetached e) {
            attached.remove(e.vm());
            peersChanged = true;
            jobs.onDetached(e.vm());
        } else if (event instanceof PoolEvent.FromEntry e) {
            fromEntry(e.vm(), e.message());
        } else if (event instanceof PoolEvent.EndpointsRead e) {
            jobs.leases().onRead(e);
        } else if (!board.isOwner()) {
            return;
        } else if (event instanceof PoolEvent.HoldEnded e) {
            jobs.leases().onHoldEnded(e);
        } else if (event instanceof PoolEvent.StartEnded e) {
            jobs.onStartEnded(e);
        } else if (event instanceof PoolEvent.StopEnded e) {
            jobs.onStopEnded(e);
        }
    }

    private void fromOwner(PoolEvent.FromOwner e) {
        if (e.peer().equals(board.linkedOwner)) {
            ownership.onFromOwner(e.message());
            entry.onMessage(e.message());
        }
    }

    private void fromEntry(VmContact vm, PoolMessage.ToOwner message) {
        if (!board.isOwner()) {
            board.sendEntry(vm, new PoolMessage.NotOwner(board.token));
        } else if (message instanceof PoolMessage.Present p) {
            jobs.onPresent(vm, p);
        } else if (message instanceof PoolMessage.Withdraw w) {
            jobs.onWithdraw(vm, w.job());
        }
    }

    private void tick() {
        ownership.onTick();
        entry.onTick();
        if (board.isOwner()) {
            jobs.leases().onTick();
            jobs.onTick();
            heartbeat();
            ownership.offerTo(steadySuccessors());
        }
    }

    private void heartbeat() {
        if (!ownership.takeHeartbeat(HEARTBEAT_MS)) {
            return;
        }
        List<VmContact> peers = peersChanged || board.now >= peersDueMs ? successors() : List.of();
        peersDueMs = peers.isEmpty() ? peersDueMs : board.now + PEERS_MS;
        peersChanged = false;
        var beat = new PoolMessage.Heartbeat(board.token, peers, jobs.waitingByQueue());
        for (VmContact vm : attached.keySet()) {
            board.sendEntry(vm, beat);
        }
        entry.onMessage(beat);
    }

    /** Returns the VMs whose links have lasted for a while. */
    private List<VmContact> steadySuccessors() {
        List<VmContact> steady = successors();
        steady.removeIf(vm -> board.now - attached.get(vm) < OwnershipController.STEADY_MS);
        return steady;
    }

    private List<VmContact> successors() {
        List<VmContact> peers = new ArrayList<>(attached.keySet());
        peers.sort(VmContact.SUCCESSION);
        return peers;
    }

    /** Follows changes of the owner, passes messages within this VM, and places tasks, until nothing is left. */
    private void settle() {
        followRole();
        boolean busy = true;
        while (busy) {
            busy = false;
            for (PoolMessage.ToOwner m : board.takeForOwner()) {
                fromEntry(board.self(), m);
                busy = true;
            }
            for (PoolMessage.ToEntry m : board.takeForEntry()) {
                entry.onMessage(m);
                busy = true;
            }
            if (board.isOwner() && board.placementDue && board.doubtfulSinceMs == 0) {
                jobs.place();
            }
        }
    }

    private void followRole() {
        boolean newToken = board.isOwner() && board.token != servedToken;
        if (board.isOwner() && !wasOwner) {
            wasOwner = true;
            peersChanged = true;
            jobs.leases().begin();
        } else if (newToken) {
            jobs.leases().begin();
        } else if (!board.isOwner() && wasOwner) {
            wasOwner = false;
            for (VmContact vm : attached.keySet()) {
                board.sendEntry(vm, new PoolMessage.NotOwner(board.token));
            }
            jobs.leases().end();
            jobs.end();
        }
        String owner = board.isOwner() ? "self" : board.linkedOwner;
        boolean changed = !owner.equals(servedOwner);
        servedOwner = owner;
        servedToken = board.isOwner() ? board.token : 0;
        if (changed) {
            entry.onOwner(false);
            if (!owner.isEmpty()) {
                entry.onOwner(true);
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
    public int waiting(String queue) {
        return entry.waiting(queue);
    }
}
