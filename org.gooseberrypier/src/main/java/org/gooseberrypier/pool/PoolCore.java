package org.gooseberrypier.pool;

import java.util.function.Consumer;

import org.gooseberrypier.internal.pool.PoolEngine;

/**
 * The rules by which a VM runs jobs on a pool of leased endpoints: deterministic, without threads, clocks or I/O.
 *
 * <p>It is not thread-safe; one thread gives it all events.
 */
public final class PoolCore {

    private final PoolEngine engine;

    /**
     * Creates the rules of one VM.
     *
     * @param self the VM
     * @param remotePenalty how many times as long a task takes away from its data, at least 1
     * @param startMs the steady clock now, in milliseconds
     * @param sink where effects go, called while an event is handled
     */
    public PoolCore(VmIncarnation self, double remotePenalty, long startMs, Consumer<PoolEffect> sink) {
        this(self, SchedulingPolicy.DEFAULT, remotePenalty, startMs, sink);
    }

    /**
     * Creates the rules of one VM, to compare rules with each other.
     *
     * @param self the VM
     * @param rules how work waits and is refused
     * @param remotePenalty how many times as long a task takes away from its data, at least 1
     * @param startMs the steady clock now, in milliseconds
     * @param sink where effects go, called while an event is handled
     */
    public PoolCore(
            VmIncarnation self, SchedulingPolicy rules, double remotePenalty, long startMs, Consumer<PoolEffect> sink) {
        engine = new PoolEngine(self, rules, remotePenalty, startMs, sink);
    }

    /**
     * Handles an event.
     *
     * @param event what happened
     * @param nowMs the steady clock, in milliseconds
     */
    public void handle(PoolEvent event, long nowMs) {
        engine.handle(event, nowMs);
    }

    /**
     * Returns whether jobs can be handed to an owner.
     *
     * @return whether this VM is the owner or has a link to it
     */
    public boolean hasOwner() {
        return engine.hasOwner();
    }

    /**
     * Returns whether this VM owns endpoints.
     *
     * @return whether it does
     */
    public boolean isOwner() {
        return engine.isOwner();
    }

    /**
     * Returns how many jobs wait in a queue without a started task.
     *
     * @param queue the queue
     * @return jobs, as of the owner's last heartbeat; may be asked on any thread
     */
    public int waitingJobs(String queue) {
        return engine.waitingJobs(queue);
    }
}
