package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;

/** State of a job at the owner. */
final class OwnedJob {

    /** Number of attempts reserved per owner, so that attempts of an earlier owner have lower numbers than those of this one. */
    static final int ATTEMPTS_PER_OWNER = 100;

    final PoolJob spec;
    final List<OwnedTask> tasks = new ArrayList<>();
    /** Entry VMs that wait for the job. */
    final Map<VmIncarnation, Subscription> subscribers = new HashMap<>();

    /** Until when an entry VM waited for the job that is no subscriber any more, in milliseconds. */
    long awaitedUntilMs = Long.MIN_VALUE / 2;

    final long arrivedAtMs;
    /** Whether runs of it may exist that this owner did not start. */
    boolean resumed;

    /**
     * When a job of an earlier owner was forwarded to this one, in milliseconds; unknown runs of it last no longer than a
     * lease from then.
     */
    long resumedAtMs;

    /** Whether runs of it may be at endpoints that this owner does not know. */
    boolean unknownEndpoints;

    /** Whether a run of a task may have started. */
    boolean mayHaveStarted;
    /** Whether the job has ended for its callers, and its remaining runs are being stopped. */
    boolean ending;
    /** The same job, forwarded again while this one was ending; it is started when no run of this one is left. */
    final Map<VmIncarnation, Resubmission> resubmissions = new LinkedHashMap<>();

    int waitingTasks;
    int activeTasks;
    int doneTasks;

    /**
     * The job as an entry VM forwarded it again.
     *
     * @param link the number of the link over which the VM forwarded it
     * @param message the message
     * @param receivedMs when it was received, in milliseconds
     */
    record Resubmission(long link, PoolMessage.ForwardJob message, long receivedMs) {

        Resubmission extended(long awaitedMs, long now) {
            PoolMessage.ForwardJob m = message.delayed(now - receivedMs);
            return new Resubmission(link, m.awaitedFor(Math.max(m.awaitedMs(), awaitedMs)), now);
        }
    }

    /**
     * Interest of an entry VM in the job. It ends with the link, since a VM without a link cannot withdraw the job.
     *
     * @param link the number of the link over which the VM forwarded the job
     * @param downSinceMs since when the link is down, in milliseconds, or 0 if it is up
     * @param heardMs when the VM was last heard of before the link was lost, in milliseconds; of no meaning while it is up
     * @param untilMs until when a caller of the VM waits at most, in milliseconds
     */
    record Subscription(long link, long downSinceMs, long heardMs, long untilMs) {

        /** Stands for no link of the VM, so that the subscription stays down whatever link comes up. */
        private static final long NO_LINK = -1;

        Subscription voided() {
            return new Subscription(NO_LINK, downSinceMs, heardMs, untilMs);
        }

        Subscription up() {
            return new Subscription(link, 0, heardMs, untilMs);
        }

        Subscription down(long sinceMs, long lastHeardMs) {
            return downSinceMs == 0
                    ? new Subscription(link, sinceMs, lastHeardMs, untilMs)
                    : new Subscription(link, Math.min(downSinceMs, sinceMs), heardMs, untilMs);
        }

        Subscription extended(long toMs) {
            return new Subscription(link, downSinceMs, heardMs, Math.max(untilMs, toMs));
        }
    }

    OwnedJob(PoolJob spec, long arrivedAtMs, boolean resumed, long now) {
        this.resumedAtMs = now;
        this.spec = spec;
        this.arrivedAtMs = arrivedAtMs;
        this.resumed = resumed;
        this.waitingTasks = spec.tasks();
        for (int i = 0; i < spec.tasks(); i++) {
            tasks.add(new OwnedTask(this, i));
        }
    }

    /** Changes the state of a task and updates the counts of tasks by state. */
    void set(OwnedTask task, OwnedTask.State state) {
        count(task, -1);
        task.state = state;
        count(task, 1);
    }

    private void count(OwnedTask task, int by) {
        if (task.state == OwnedTask.State.WAITING) {
            waitingTasks += by;
        } else if (task.state == OwnedTask.State.DONE) {
            doneTasks += by;
        } else {
            activeTasks += by;
        }
    }

    boolean hasStartedTasks() {
        return activeTasks + doneTasks > 0;
    }
}
