package org.gooseberrypier.pool;

import java.util.function.Consumer;

import org.gooseberrypier.internal.pool.PoolEngine;

/**
 * Deterministic state machine by which a VM runs jobs on a pool of leased endpoints; it uses no threads, clocks or I/O.
 *
 * <p>It is not thread-safe: one thread must deliver all events.
 */
public final class PoolCore {

    private final PoolEngine engine;

    /**
     * Creates the state machine of one VM with the default policy.
     *
     * @param self the VM
     * @param remotePenalty the factor on the duration of a task that runs away from its data, at least 1
     * @param startMs the current time of the steady clock, in milliseconds
     * @param sink receives the effects, while an event is handled
     */
    public PoolCore(VmIncarnation self, double remotePenalty, long startMs, Consumer<PoolEffect> sink) {
        this(self, SchedulingPolicy.DEFAULT, remotePenalty, startMs, sink);
    }

    /**
     * Creates the state machine of one VM with the given policy, for comparisons of policies.
     *
     * @param self the VM
     * @param policy the order of waiting jobs and when jobs are refused
     * @param remotePenalty the factor on the duration of a task that runs away from its data, at least 1
     * @param startMs the current time of the steady clock, in milliseconds
     * @param sink receives the effects, while an event is handled
     */
    public PoolCore(
            VmIncarnation self,
            SchedulingPolicy policy,
            double remotePenalty,
            long startMs,
            Consumer<PoolEffect> sink) {
        engine = new PoolEngine(self, policy, remotePenalty, startMs, sink);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowMs the current time of the steady clock, in milliseconds
     */
    public void handle(PoolEvent event, long nowMs) {
        handle(event, nowMs, false);
    }

    /**
     * Handles an event, after which more events may follow without a wait. The placement of tasks, which costs more than
     * most events, is deferred until the last of them or until the next {@link PoolEvent.Tick}.
     *
     * @param event the event
     * @param nowMs the current time of the steady clock, in milliseconds
     * @param moreFollow whether the caller handles another event directly after this one
     */
    public void handle(PoolEvent event, long nowMs, boolean moreFollow) {
        engine.handle(event, nowMs, moreFollow);
    }

    /**
     * Returns whether jobs can be forwarded to an owner.
     *
     * @return whether this VM is the owner or has a link to it
     */
    public boolean hasOwner() {
        return engine.hasOwner();
    }

    /**
     * Returns whether this VM owns endpoints.
     *
     * @return whether it owns the pool or the endpoints of its zone
     */
    public boolean isOwner() {
        return engine.isOwner();
    }

    /**
     * Returns the number of jobs of a queue that have no started task. May be called on any thread.
     *
     * @param queue the name of the queue
     * @return the number of jobs, as of the owner's last heartbeat
     */
    public int waitingJobs(String queue) {
        return engine.waitingJobs(queue);
    }
}
