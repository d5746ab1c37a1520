package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;

/**
 * Holds the jobs of this VM's callers and hands them to the owner, again to each new owner, until they have ended.
 */
final class EntryController {

    /** A job that no owner ever had is refused after this time without an owner, in milliseconds. */
    private static final long NO_OWNER_MS = 1_200;

    /** When callers that were refused for want of an owner had better come back, in milliseconds. */
    private static final long RETRY_AFTER_MS = 1_000;

    /** As many as the owner takes from all VMs. */
    private static final int MAX_JOBS = 20_000;

    private final PoolBoard board;
    private final Map<String, HeldJob> jobs = new LinkedHashMap<>();
    private final Map<Long, String> calls = new LinkedHashMap<>();
    private volatile Map<String, Integer> waiting = Map.of();
    private boolean linked;
    private long unlinkedSinceMs;

    private static final class HeldJob {
        private final PoolJob spec;
        private final long arrivedAtMs;
        private final Set<Long> callers = new LinkedHashSet<>();
        private final Set<Integer> done = new TreeSet<>();
        private int handovers;
        private boolean presented;

        HeldJob(PoolJob spec, long arrivedAtMs) {
            this.spec = spec;
            this.arrivedAtMs = arrivedAtMs;
        }
    }

    EntryController(PoolBoard board) {
        this.board = board;
    }

    void onJobSubmitted(PoolEvent.JobSubmitted event) {
        PoolJob spec = event.job();
        HeldJob job = jobs.get(spec.id());
        if (job == null && jobs.size() >= MAX_JOBS) {
            board.emit(new PoolEffect.Answer(
                    event.call(), spec.id(), new JobOutcome.Refused("too many jobs", RETRY_AFTER_MS)));
            return;
        }
        calls.put(event.call(), spec.id());
        if (job != null) {
            job.callers.add(event.call());
            return;
        }
        job = new HeldJob(spec, board.now);
        job.callers.add(event.call());
        jobs.put(spec.id(), job);
        if (linked) {
            present(job);
        }
    }

    void onCallerDisconnected(long call) {
        String id = calls.remove(call);
        HeldJob job = id == null ? null : jobs.get(id);
        if (job == null) {
            return;
        }
        job.callers.remove(call);
        if (job.callers.isEmpty()) {
            board.log("event=caller_gone job=" + id + " age_ms=" + (board.now - job.arrivedAtMs));
            jobs.remove(id);
            withdraw(job);
        }
    }

    void onJobCancelled(String id) {
        HeldJob job = jobs.get(id);
        if (job != null) {
            withdraw(job);
            answer(job, new JobOutcome.Failed("cancelled"));
        }
    }

    private void withdraw(HeldJob job) {
        if (linked && job.presented) {
            board.sendToOwner(new PoolMessage.WithdrawJob(job.spec.id()));
        }
    }

    private void present(HeldJob job) {
        board.sendToOwner(new PoolMessage.ForwardJob(
                job.spec, board.now - job.arrivedAtMs, job.handovers, new ArrayList<>(job.done)));
        job.presented = true;
        job.handovers++;
    }

    void onMessage(PoolMessage.ToEntry message) {
        if (message instanceof PoolMessage.TaskDone d) {
            HeldJob job = jobs.get(d.job());
            if (job != null) {
                job.done.add(d.task());
            }
        } else if (message instanceof PoolMessage.JobFinished f) {
            HeldJob job = jobs.get(f.job());
            if (job != null) {
                answer(job, f.outcome());
            }
        } else if (message instanceof PoolMessage.Heartbeat h) {
            waiting = h.waitingJobs();
        }
    }

    private void answer(HeldJob job, JobOutcome outcome) {
        jobs.remove(job.spec.id());
        board.log("event=job_answered job=" + job.spec.id() + " queue=" + job.spec.queue() + " outcome=" + outcome
                + " age_ms=" + (board.now - job.arrivedAtMs) + " callers=" + job.callers.size());
        for (long call : job.callers) {
            calls.remove(call);
            board.emit(new PoolEffect.Answer(call, job.spec.id(), outcome));
        }
    }

    /** Hands all jobs to the owner again when there is a new one. */
    void onOwnerLinkChanged(boolean nowLinked) {
        if (nowLinked) {
            linked = true;
            for (HeldJob j : List.copyOf(jobs.values())) {
                present(j);
            }
        } else if (linked) {
            linked = false;
            unlinkedSinceMs = board.now;
        }
    }

    void onTick() {
        if (linked || board.now - unlinkedSinceMs < NO_OWNER_MS) {
            return;
        }
        for (HeldJob j : List.copyOf(jobs.values())) {
            if (board.now - j.arrivedAtMs >= NO_OWNER_MS) {
                answer(
                        j,
                        j.presented
                                ? new JobOutcome.Unknown("the owner is lost")
                                : new JobOutcome.Refused("no owner", RETRY_AFTER_MS));
            }
        }
    }

    int waitingJobs(String queue) {
        return waiting.getOrDefault(queue, 0);
    }
}
