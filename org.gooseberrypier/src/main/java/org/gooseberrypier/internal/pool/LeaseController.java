package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.RunEnd;
import org.gooseberrypier.pool.RunId;

/**
 * Keeps the leases of the owned endpoints and learns from them what runs there and what has ended.
 *
 * <p>Each endpoint has one call open at a time, which renews its leases and waits for the next end. A run counts as gone
 * only when the endpoint says so or when its lease has surely lapsed.
 */
final class LeaseController {

    /** How long a lease lasts, in milliseconds; below the platform's limit by the way of an order. */
    static final long LEASE_MS = 900;

    /** How long an endpoint waits for an end before it answers, in milliseconds; three renewals fit into a lease. */
    private static final long HOLD_WAIT_MS = 300;

    /** Pause after a call that failed, in milliseconds. */
    private static final long HOLD_RETRY_MS = 60;

    /** Pause after an endpoint refused the token, in milliseconds; a newer token calls at once. */
    private static final long FENCED_RETRY_MS = 4_000;

    /** Within this time of taking over, the entry VMs hand their jobs over again, in milliseconds. */
    private static final long STRAY_MS = 500;

    /** Ends of runs whose jobs were not handed over within this time are forgotten, in milliseconds. */
    private static final long TAKE_OVER_MS = 4 * STRAY_MS;

    /** The same within a zone that goes on alone, whose few VMs are near; jobs of VMs elsewhere wait for it to pass. */
    private static final long ZONE_STRAY_MS = 200;

    /**
     * An endpoint that left the list without draining counts as possibly alive for this long, in milliseconds: its entry
     * also lapses while its zone is cut off, where the zone's owner goes on using it, and comes back seconds later.
     */
    private static final long DEPARTED_MS = 15_000;

    private final PoolBoard board;
    private final RunListener listener;
    private final Map<String, Departed> departed = new HashMap<>();
    private long listAskedAtMs = Long.MIN_VALUE;
    /** When the list was read first, in milliseconds; endpoints that had left it before are not known. */
    private long listedSinceMs = Long.MAX_VALUE;

    private record Departed(PoolEndpoint endpoint, long sinceMs) {}

    private final Map<String, Set<Integer>> strayDone = new HashMap<>();

    /** Hears what becomes of runs. */
    interface RunListener {

        /**
         * A run was listed as running.
         *
         * @param percent how much of its work is done, 0 to 100
         * @param clockMs the endpoint's clock when it listed the run, in milliseconds
         */
        void onRunListed(OwnedTask task, int percent, long clockMs);

        /** A run has ended as its endpoint says. */
        void onRunEnded(OwnedTask task, RunEnd.Cause cause);

        /** A run is surely gone, without an end. */
        void onRunLost(OwnedTask task, String why);

        /**
         * A run of an earlier owner has ended well.
         *
         * @return whether its job is here
         */
        boolean onOrphanRunDone(RunId run);

        /** An endpoint refused the token. */
        void onFenced();
    }

    LeaseController(PoolBoard board, RunListener listener) {
        this.board = board;
        this.listener = listener;
    }

    void onEndpointsRead(PoolEvent.EndpointsRead event) {
        Map<String, PoolEndpoint> listed = new HashMap<>();
        event.endpoints().forEach(e -> listed.put(e.id(), e));
        for (PoolEndpoint e : board.registeredEndpoints) {
            if (!e.draining()) {
                departed.putIfAbsent(e.id(), new Departed(e, board.now));
            }
        }
        departed.values().removeIf(d -> listed.containsKey(d.endpoint().id()) || board.now - d.sinceMs() > DEPARTED_MS);
        listAskedAtMs = event.requestedAtMs();
        listedSinceMs = Math.min(listedSinceMs, event.requestedAtMs());
        board.registeredEndpoints = event.endpoints();
        if (board.isOwner()) {
            merge();
        }
    }

    private void merge() {
        Set<String> seen = new HashSet<>();
        for (PoolEndpoint e : board.registeredEndpoints) {
            if (!isOwned(e)) {
                continue;
            }
            seen.add(e.id());
            LeasedEndpoint known = board.endpoints.get(e.id());
            if (known == null) {
                board.endpoints.put(e.id(), new LeasedEndpoint(e));
                continue;
            }
            if (!known.registration.address().equals(e.address())) {
                restarted(known, "moved");
            }
            if (known.registration.draining() != e.draining()) {
                board.log("event=endpoint_draining endpoint=" + e.id() + " draining=" + e.draining());
            }
            known.registration = e;
            known.registered = true;
        }
        for (LeasedEndpoint e : new ArrayList<>(board.endpoints.values())) {
            if (!seen.contains(e.registration.id())) {
                if (e.registered && !e.registration.draining()) {
                    e.pollUntilMs = board.now + DEPARTED_MS;
                }
                e.registered = false;
                if (e.runs.isEmpty() && e.isLeaseExpired(board.now) && board.now > e.pollUntilMs) {
                    board.endpoints.remove(e.registration.id());
                }
            }
        }
        board.placementDue = true;
    }

    private boolean isOwned(PoolEndpoint e) {
        return board.role != OwnerRole.ZONE_OWNER
                || e.zone().equals(board.self().zone());
    }

    /** Begins to own: nothing is known about any endpoint until it has answered under the new token. */
    void onOwnershipBegan() {
        strayDone.clear();
        for (LeasedEndpoint e : board.endpoints.values()) {
            e.synced = false;
            e.fenced = false;
            e.lastAnsweredCallSentAtMs = Long.MIN_VALUE;
            e.nextRenewalAtMs = 0;
        }
        merge();
        for (Departed d : departed.values()) {
            if (!isOwned(d.endpoint())) {
                continue;
            }
            LeasedEndpoint e = new LeasedEndpoint(d.endpoint());
            e.registered = false;
            e.pollUntilMs = board.now + DEPARTED_MS;
            board.endpoints.putIfAbsent(d.endpoint().id(), e);
        }
    }

    /** Forgets everything, as another VM owns the endpoints now. */
    void onOwnershipEnded() {
        board.endpoints.clear();
        strayDone.clear();
    }

    /** Returns whether jobs of an earlier owner may still be handed over whose runs end before. */
    private boolean isTakingOver() {
        return board.now - board.ownerSinceMs < TAKE_OVER_MS;
    }

    void onTick() {
        if (!isTakingOver()) {
            strayDone.clear();
        }
        for (LeasedEndpoint e : new ArrayList<>(board.endpoints.values())) {
            if (!e.renewing && board.now >= e.nextRenewalAtMs) {
                hold(e);
            }
            if (!e.runs.isEmpty() && e.isLeaseExpired(board.now)) {
                lapse(e);
            }
            stopStrays(e);
        }
    }

    private void hold(LeasedEndpoint e) {
        boolean idle = e.runs.isEmpty() && e.orphanRuns.isEmpty();
        if (!e.registered && idle && board.now > e.pollUntilMs) {
            return;
        }
        e.renewing = true;
        hold(e, e.synced && !e.fenced ? HOLD_WAIT_MS : 0);
    }

    /** Asks every endpoint now that has not answered since a job of an earlier owner was handed over. */
    void probe(long handedOverAtMs) {
        for (LeasedEndpoint e : board.endpoints.values()) {
            if (e.lastAnsweredCallSentAtMs < handedOverAtMs && e.synced && !e.probing && !e.fenced) {
                e.probing = true;
                hold(e, 0);
            }
        }
    }

    private void hold(LeasedEndpoint e, long wait) {
        long deadline = e.isClockKnown() ? e.extendLease(board.now, LEASE_MS) : PoolEffect.RenewLeases.NO_DEADLINE;
        board.emit(new PoolEffect.RenewLeases(
                e.registration, board.token, board.now, e.acknowledgedSequence, deadline, wait));
    }

    private void lapse(LeasedEndpoint e) {
        board.warn("event=leases_lapsed endpoint=" + e.registration.id() + " runs=" + e.runs.size() + " silent_ms="
                + (board.now - e.lastAnswerAtMs));
        e.synced = false;
        for (OwnedTask t : new ArrayList<>(e.runs.values())) {
            listener.onRunLost(t, "lapsed");
        }
    }

    void onLeaseRenewalEnded(PoolEvent.LeaseRenewalEnded event) {
        PoolEffect.RenewLeases hold = event.request();
        LeasedEndpoint e = board.endpoints.get(hold.endpoint().id());
        if (e == null || !e.registration.address().equals(hold.endpoint().address())) {
            return;
        }
        boolean probe = e.probing && hold.waitMs() == 0;
        if (probe) {
            e.probing = false;
        } else {
            e.renewing = false;
        }
        if (hold.token() != board.token) {
            e.nextRenewalAtMs = board.now;
        } else if (event.result() instanceof LeaseRenewalResult.Held h) {
            e.nextRenewalAtMs = board.now;
            held(e, hold, h);
        } else if (event.result() instanceof LeaseRenewalResult.Rejected r) {
            rejected(e, r.cause());
        } else if (event.result() instanceof LeaseRenewalResult.Unanswered u) {
            e.unansweredCalls++;
            e.nextRenewalAtMs = board.now + HOLD_RETRY_MS;
            if (e.unansweredCalls == 1) {
                board.log("event=endpoint_silent endpoint=" + e.registration.id() + " heard_ms_ago="
                        + (board.now - e.lastAnswerAtMs) + " reason=\""
                        + u.reason().replace('"', '\'') + "\"");
            }
        }
        if (!e.renewing && board.now >= e.nextRenewalAtMs) {
            hold(e);
        }
    }

    private void rejected(LeasedEndpoint e, LeaseRenewalResult.Rejection cause) {
        switch (cause) {
            case FENCED -> {
                e.fenced = true;
                e.nextRenewalAtMs = board.now + FENCED_RETRY_MS;
                listener.onFenced();
            }
            case OTHER_INCARNATION -> {
                restarted(e, "restarted");
                e.nextRenewalAtMs = board.now;
            }
            default -> {
                e.nextRenewalAtMs = board.now + HOLD_RETRY_MS;
            }
        }
    }

    private void held(LeasedEndpoint e, PoolEffect.RenewLeases hold, LeaseRenewalResult.Held h) {
        if (e.incarnation != 0 && e.incarnation != h.incarnation()) {
            restarted(e, "restarted");
        }
        e.incarnation = h.incarnation();
        e.lastAnsweredCallSentAtMs = Math.max(e.lastAnsweredCallSentAtMs, hold.sentAtMs());
        e.setClock(h.clockMs(), board.now);
        if (e.unansweredCalls > 0) {
            board.log("event=endpoint_back endpoint=" + e.registration.id() + " unanswered=" + e.unansweredCalls);
            e.unansweredCalls = 0;
        }
        for (RunEnd end : h.ends()) {
            if (end.sequence() > e.acknowledgedSequence) {
                e.acknowledgedSequence = end.sequence();
                ended(e, end);
            }
        }
        compare(e, hold, h);
        if (!e.synced) {
            e.synced = true;
            board.placementDue = true;
        }
    }

    private void ended(LeasedEndpoint e, RunEnd end) {
        board.placementDue = true;
        OwnedTask task = e.runs.get(end.run());
        if (task != null) {
            listener.onRunEnded(task, end.cause());
            return;
        }
        e.orphanRuns.remove(end.run());
        if (end.cause() == RunEnd.Cause.DONE && !listener.onOrphanRunDone(end.run()) && isTakingOver()) {
            strayDone
                    .computeIfAbsent(end.run().job(), j -> new HashSet<>())
                    .add(end.run().task());
        }
    }

    /** Compares what the endpoint lists as running with what is known. */
    private void compare(LeasedEndpoint e, PoolEffect.RenewLeases hold, LeaseRenewalResult.Held h) {
        Map<RunId, Integer> running = new HashMap<>();
        h.running().forEach(r -> running.put(r.run(), r.percent()));
        for (OwnedTask t : new ArrayList<>(e.runs.values())) {
            Integer percent = running.remove(t.run());
            if (percent != null) {
                listener.onRunListed(t, percent, h.clockMs());
            } else if (isSurelyAnswered(t, hold.sentAtMs())) {
                listener.onRunLost(t, "not listed");
            }
        }
        e.orphanRuns.keySet().retainAll(running.keySet());
        for (RunId r : running.keySet()) {
            OwnedJob job = board.jobs.get(r.job());
            if (job == null || job.ending || !adopt(job, e, r)) {
                e.orphanRuns.putIfAbsent(r, board.now);
            }
        }
    }

    /** Returns whether the order that concerned the run was answered before the list was asked for. */
    private static boolean isSurelyAnswered(OwnedTask t, long sentAtMs) {
        switch (t.state) {
            case RUNNING:
                return t.confirmedAtMs < sentAtMs;
            case STOPPING:
                return t.stopAccepted && t.confirmedAtMs < sentAtMs;
            default:
                return false;
        }
    }

    private void restarted(LeasedEndpoint e, String why) {
        board.warn("event=endpoint_" + why + " endpoint=" + e.registration.id() + " runs=" + e.runs.size());
        e.acknowledgedSequence = 0;
        e.incarnation = 0;
        e.orphanRuns.clear();
        e.synced = false;
        e.renewing = false;
        e.probing = false;
        e.lastAnsweredCallSentAtMs = Long.MIN_VALUE;
        e.forgetClock();
        for (OwnedTask t : new ArrayList<>(e.runs.values())) {
            listener.onRunLost(t, why);
        }
    }

    private void stopStrays(LeasedEndpoint e) {
        long strayMs = board.role == OwnerRole.ZONE_OWNER ? ZONE_STRAY_MS : STRAY_MS;
        if (e.orphanRuns.isEmpty() || board.now - board.ownerSinceMs < strayMs) {
            return;
        }
        for (Map.Entry<RunId, Long> s : e.orphanRuns.entrySet()) {
            if (board.now - s.getValue() >= strayMs) {
                s.setValue(board.now);
                board.log("event=stop_stray run=" + s.getKey() + " endpoint=" + e.registration.id());
                board.emit(new PoolEffect.Stop(e.registration, board.token, s.getKey()));
            }
        }
    }

    /**
     * Returns until when a handover may have happened so that every endpoint has told since, under the token in force,
     * what runs there. A VM that started lately may not know all endpoints: those of a zone that is cut off have left the
     * list, though the zone's owner goes on using them.
     */
    long allEndpointsSyncedSinceMs() {
        return board.now - listedSinceMs >= DEPARTED_MS ? knownEndpointsSyncedSinceMs() : Long.MIN_VALUE;
    }

    /** The same for the endpoints that are known. */
    long knownEndpointsSyncedSinceMs() {
        if (board.role != OwnerRole.OWNER || listAskedAtMs < board.ownerSinceMs) {
            return Long.MIN_VALUE;
        }
        long since = Long.MAX_VALUE;
        for (LeasedEndpoint e : board.endpoints.values()) {
            since = Math.min(since, e.synced ? e.lastAnsweredCallSentAtMs : Long.MIN_VALUE);
        }
        return since;
    }

    /** Takes the ends that were listed for a job before it was handed over. */
    Set<Integer> takeOrphanDoneTasks(String job) {
        Set<Integer> done = strayDone.remove(job);
        return done == null ? Set.of() : done;
    }

    /** Returns whether runs of a job that is not here are known, there still or ended. */
    boolean hasOrphanRunsOf(String job) {
        return strayDone.containsKey(job)
                || board.endpoints.values().stream().anyMatch(e -> e.orphanRuns.keySet().stream()
                        .anyMatch(r -> r.job().equals(job)));
    }

    /** Gives the runs of a job that an earlier owner started to the job. */
    void adopt(OwnedJob job) {
        for (LeasedEndpoint e : board.endpoints.values()) {
            List<RunId> mine = new ArrayList<>();
            for (RunId r : e.orphanRuns.keySet()) {
                if (r.job().equals(job.spec.id())) {
                    mine.add(r);
                }
            }
            for (RunId r : mine) {
                adopt(job, e, r);
            }
        }
    }

    private boolean adopt(OwnedJob job, LeasedEndpoint e, RunId run) {
        if (run.task() >= job.tasks.size()) {
            return false;
        }
        OwnedTask task = job.tasks.get(run.task());
        if (task.state != OwnedTask.State.WAITING) {
            return false;
        }
        e.orphanRuns.remove(run);
        task.attempt = run.attempt();
        job.set(task, OwnedTask.State.RUNNING);
        job.mayHaveStarted = true;
        task.startedAtMs = OwnedTask.START_UNKNOWN_MS;
        task.confirmedAtMs = board.now;
        e.add(task);
        return true;
    }
}
