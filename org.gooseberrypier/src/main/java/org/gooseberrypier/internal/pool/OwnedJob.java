package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;

/** A job at the owner. */
final class OwnedJob {

    /** Leaves the attempts of an earlier owner below those of this one. */
    static final int ATTEMPTS_PER_OWNER = 100;

    final PoolJob spec;
    final List<OwnedTask> tasks = new ArrayList<>();
    /** Who waits for the job, and since when the link to it is down (0 if it is up). */
    final Map<VmIncarnation, Long> subscribers = new HashMap<>();

    final long arrivedAtMs;
    /** Whether runs of it may exist that this owner did not start. */
    boolean resumed;

    /** When an earlier owner's job was handed over; its unheard runs last no longer than a lease from then. */
    long resumedAtMs;

    /** Whether a run of a task may have begun. */
    boolean mayHaveStarted;
    /** Whether the job has ended for its callers and only its runs are still being stopped. */
    boolean ending;
    /** Presented again while it was ending; begins anew when the last run is gone. */
    PoolMessage.ForwardJob resubmission;

    VmIncarnation resubmittedBy;
    int waitingTasks;
    int activeTasks;
    int doneTasks;

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

    /** Moves a task to another state and keeps the counts. */
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
