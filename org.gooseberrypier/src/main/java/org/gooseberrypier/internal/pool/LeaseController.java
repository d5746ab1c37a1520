package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.RunEnd;
import org.gooseberrypier.pool.RunId;

/**
 * Renews the leases of the owned endpoints and tracks which runs the endpoints report as running and as ended.
 *
 * <p>One renewal call at a time waits at each endpoint for the next end of a run. A run is treated as lost only when the
 * endpoint reports so or when its lease has certainly expired.
 */
final class LeaseController {

    /** Duration of a lease, in milliseconds; it is below the platform's limit by the transmission time of an order. */
    static final long LEASE_MS = 900;

    /** Longest lease that an endpoint grants, in milliseconds; it shortens deadlines that lie beyond. */
    private static final long MAX_LEASE_MS = 1_000;

    /** Maximum wait of an endpoint for an end before it answers, in milliseconds; three renewals fit into a lease. */
    private static final long RENEWAL_WAIT_MS = 300;

    /** Shortest wait of an endpoint for an end while its lease is cut short, in milliseconds. */
    private static final long MIN_RENEWAL_WAIT_MS = 30;

    /** Delay before the next renewal after one that failed, in milliseconds. */
    private static final long RENEWAL_RETRY_DELAY_MS = 60;

    /** Delay before the next renewal after an endpoint refused the token, in milliseconds; a newer token is sent without it. */
    private static final long FENCED_RETRY_DELAY_MS = 4_000;

    /** Delay before orphan runs are stopped, in milliseconds; entry VMs forward their jobs to a new owner within it. */
    private static final long ORPHAN_STOP_DELAY_MS = 500;

    /** Time after taking over for which the ends of orphan runs are kept, in milliseconds. */
    private static final long ORPHAN_END_RETENTION_MS = 4 * ORPHAN_STOP_DELAY_MS;

    /**
     * Delay before a zone owner stops orphan runs, in milliseconds. The few VMs of the zone are near; jobs of VMs outside of
     * the zone wait until the delay has passed.
     */
    private static final long ZONE_ORPHAN_STOP_DELAY_MS = 200;

    /**
     * Time for which an endpoint that left the list is treated as possibly alive, in milliseconds. Its registration also
     * expires while the endpoint does not reach the store, as in an isolated zone, where it is still used; the endpoint is
     * listed again seconds later.
     */
    private static final long UNLISTED_RETENTION_MS = 15_000;

    /**
     * Age of the list of endpoints from which on an owner may use endpoints that other VMs have forgotten, in milliseconds. It is
     * shorter than {@link #UNLISTED_RETENTION_MS} by the time for which runs outlast the link over which their jobs came.
     */
    private static final long OUTDATED_LIST_MS = 10_000;

    /**
     * Longest time for which another owner may have kept a run of this owner alive beyond the lease that this one granted, in
     * milliseconds: it grants one lease at an endpoint with runs whose jobs it does not have, on a clock that may be slow.
     */
    private static final long OTHER_OWNERS_LEASE_MS = LEASE_MS + 50;

    /** Interval of the reads that confirm the ownership while leases have expired, in milliseconds. */
    private static final long CONFIRMATION_INTERVAL_MS = 100;

    private final PoolBoard board;
    private final LinkedVms linkedVms;
    private final LeaseLimit leaseLimit;
    private final RunListener listener;
    private long nextConfirmationAtMs = Long.MIN_VALUE;
    private final Map<String, Unlisted> unlisted = new HashMap<>();
    private long listRequestedAtMs = Long.MIN_VALUE;
    /** When an outdated list was last replaced, in milliseconds. */
    private long outdatedUntilMs = Long.MIN_VALUE / 2;

    /** When the first list was requested, in milliseconds; endpoints that had left the list before are not known. */
    private long firstListRequestedAtMs = Long.MAX_VALUE;

    private record Unlisted(PoolEndpoint endpoint, long sinceMs) {}

    private final Map<String, Set<Integer>> orphanDoneTasks = new HashMap<>();

    /** Receives the changes of runs that the endpoints report. */
    interface RunListener {

        /**
         * Handles a run that its endpoint lists as running.
         *
         * @param percent how much of its work is done, 0 to 100
         * @param clockMs the endpoint's clock when it listed the run, in milliseconds
         */
        void onRunListed(OwnedTask task, int percent, long clockMs);

        /** Handles the end of a run that its endpoint reports. */
        void onRunEnded(OwnedTask task, RunEnd.Cause cause);

        /** Handles a run that certainly no longer exists although no end was reported. */
        void onRunLost(OwnedTask task, String why);

        /**
         * Handles the completion of a run that an earlier owner started.
         *
         * @return whether this owner has its job
         */
        boolean onOrphanRunDone(RunId run);

        /** Handles the refusal of the token by an endpoint. */
        void onFenced();
    }

    LeaseController(PoolBoard board, LinkedVms linkedVms, LeaseLimit leaseLimit, RunListener listener) {
        this.board = board;
        this.leaseLimit = leaseLimit;
        this.linkedVms = linkedVms;
        this.listener = listener;
    }

    void onEndpointsRead(PoolEvent.EndpointsRead event) {
        Map<String, PoolEndpoint> listed = new HashMap<>();
        event.endpoints().forEach(e -> listed.put(e.id(), e));
        for (PoolEndpoint e : board.registeredEndpoints) {
            unlisted.putIfAbsent(e.id(), new Unlisted(e, board.now));
        }
        unlisted.values()
                .removeIf(
                        d -> listed.containsKey(d.endpoint().id()) || board.now - d.sinceMs() > UNLISTED_RETENTION_MS);
        if (isListTooOld()) {
            outdatedUntilMs = board.now;
        }
        listRequestedAtMs = event.requestedAtMs();
        firstListRequestedAtMs = Math.min(firstListRequestedAtMs, event.requestedAtMs());
        board.registeredEndpoints = event.endpoints();
        if (board.isOwner()) {
            mergeRegistered();
        }
    }

    private boolean isListTooOld() {
        return firstListRequestedAtMs != Long.MAX_VALUE && board.now - listRequestedAtMs >= OUTDATED_LIST_MS;
    }

    /**
     * Returns whether runs may be at endpoints that other VMs have forgotten. Load pattern: a zone that is isolated for long goes
     * on using its endpoints; they are listed again seconds after its end.
     */
    boolean isListOutdated() {
        return isListTooOld() || board.now - outdatedUntilMs < UNLISTED_RETENTION_MS;
    }

    private void mergeRegistered() {
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
                resetIncarnation(known, "moved");
                known.forgetClock();
                loseRuns(known, "moved", t -> true);
            }
            if (known.registration.draining() != e.draining()) {
                board.log("event=endpoint_draining endpoint=" + e.id() + " draining=" + e.draining());
            }
            known.registration = e;
            known.registered = true;
        }
        for (LeasedEndpoint e : new ArrayList<>(board.endpoints.values())) {
            if (!seen.contains(e.registration.id())) {
                if (e.registered) {
                    e.pollUntilMs = board.now + UNLISTED_RETENTION_MS;
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

    /** Starts owning the endpoints: the runs of an endpoint are unknown until it has answered under the new token. */
    void onOwnershipBegan() {
        orphanDoneTasks.clear();
        for (LeasedEndpoint e : board.endpoints.values()) {
            e.synced = false;
            e.fenced = false;
            e.lastAnsweredCallSentAtMs = Long.MIN_VALUE;
            e.nextRenewalAtMs = 0;
        }
        mergeRegistered();
        for (Unlisted d : unlisted.values()) {
            if (!isOwned(d.endpoint())) {
                continue;
            }
            LeasedEndpoint e = new LeasedEndpoint(d.endpoint());
            e.registered = false;
            e.pollUntilMs = board.now + UNLISTED_RETENTION_MS;
            board.endpoints.putIfAbsent(d.endpoint().id(), e);
        }
    }

    /** Discards all endpoints, since another VM owns them now. */
    void onOwnershipEnded() {
        board.endpoints.clear();
        orphanDoneTasks.clear();
    }

    /** Returns whether entry VMs may still forward jobs of an earlier owner whose runs have already ended. */
    private boolean isTakingOver() {
        return board.now - board.ownerSinceMs < ORPHAN_END_RETENTION_MS;
    }

    void onTick() {
        if (!isTakingOver()) {
            orphanDoneTasks.clear();
        }
        for (LeasedEndpoint e : new ArrayList<>(board.endpoints.values())) {
            if (!e.renewing && board.now >= e.nextRenewalAtMs) {
                renew(e);
            } else if (needsLease(e)) {
                e.probing = true;
                renew(e, 0);
            }
            if (!e.runs.isEmpty() && e.isLeaseExpired(board.now)) {
                expireLeases(e);
            }
            stopOrphans(e);
        }
    }

    /** Returns how long an endpoint may wait for an end, in milliseconds: several renewals fit into a lease. */
    private long renewalWaitMs(LeasedEndpoint e) {
        long leaseMs = e.runs.isEmpty() ? LEASE_MS : leaseLimit.leaseMs(e, board.now);
        return Math.max(MIN_RENEWAL_WAIT_MS, Math.min(RENEWAL_WAIT_MS, leaseMs / 3));
    }

    /**
     * Returns whether the lease runs out before the next renewal would be sent, and a longer one may be granted. Load pattern: a
     * lease was cut short for a run that has ended since, or by a pause of this VM, while a renewal waits for an end.
     */
    private boolean needsLease(LeasedEndpoint e) {
        boolean open = e.renewing && !e.probing && e.synced && !e.fenced && e.isClockKnown();
        long leftMs = e.leaseLeftMs(board.now);
        return open
                && !e.runs.isEmpty()
                && leftMs >= 0
                && leftMs < RENEWAL_WAIT_MS
                && leaseLimit.leaseMs(e, board.now) > RENEWAL_WAIT_MS;
    }

    private void renew(LeasedEndpoint e) {
        boolean idle = e.runs.isEmpty() && e.orphanRuns.isEmpty();
        if (!e.registered && idle && board.now > e.pollUntilMs) {
            return;
        }
        e.renewing = true;
        renew(e, e.synced && !e.fenced && e.unansweredCalls == 0 ? renewalWaitMs(e) : 0);
    }

    /**
     * Sends a renewal that does not wait for an end to each endpoint that has not answered a call sent since a job of an
     * earlier owner was forwarded.
     *
     * @param forwardedAtMs when the job was forwarded, in milliseconds
     */
    void probe(long forwardedAtMs) {
        for (LeasedEndpoint e : board.endpoints.values()) {
            if (e.lastAnsweredCallSentAtMs < forwardedAtMs && e.synced && !e.probing && !e.fenced) {
                e.probing = true;
                renew(e, 0);
            }
        }
    }

    private void renew(LeasedEndpoint e, long waitMs) {
        // Runs that are not known or not awaited must expire: their callers may submit their jobs elsewhere.
        long leaseMs = e.synced && e.isClockKnown() && !e.runs.isEmpty() ? leaseLimit.leaseMs(e, board.now) : 0;
        long deadlineMs = leaseMs > 0 ? e.extendLease(board.now, leaseMs) : PoolEffect.RenewLeases.NO_DEADLINE;
        // After a failed call the endpoint may have restarted: the number would make it forget the ends of new runs.
        long acknowledged = e.unansweredCalls > 0 ? 0 : e.acknowledgedSequence;
        board.emit(
                new PoolEffect.RenewLeases(e.registration, board.token, board.now, acknowledged, deadlineMs, waitMs));
    }

    /**
     * Ends the runs of an endpoint whose leases have expired. The lease is the only one if the store has confirmed since then that
     * this VM is the owner and the availability zone can have no owner of its own; otherwise another owner may have extended
     * it once.
     */
    private void expireLeases(LeasedEndpoint e) {
        boolean sole = !e.fenced
                && e.isLeaseExpired(board.ownershipConfirmedAtMs)
                && !linkedVms.mayHaveOwner(e.registration.zone());
        if (!sole && !e.isLeaseExpired(board.now - OTHER_OWNERS_LEASE_MS)) {
            confirmOwnership();
            return;
        }
        board.warn("event=leases_lapsed endpoint=" + e.registration.id() + " runs=" + e.runs.size() + " silent_ms="
                + (board.now - e.lastAnswerAtMs));
        e.synced = false;
        loseRuns(e, "lease expired", t -> true);
    }

    private void confirmOwnership() {
        if (board.role == OwnerRole.OWNER && board.now >= nextConfirmationAtMs) {
            nextConfirmationAtMs = board.now + CONFIRMATION_INTERVAL_MS;
            board.emit(new PoolEffect.ReadOwnership());
        }
    }

    void onLeaseRenewalEnded(PoolEvent.LeaseRenewalEnded event) {
        PoolEffect.RenewLeases request = event.request();
        LeasedEndpoint e = board.endpoints.get(request.endpoint().id());
        if (e == null || !e.registration.address().equals(request.endpoint().address())) {
            return;
        }
        boolean isProbe = e.probing && request.waitMs() == 0;
        if (isProbe) {
            e.probing = false;
        } else {
            e.renewing = false;
        }
        if (isGone(e, event.result())) {
            forget(e);
            return;
        }
        if (request.token() != board.token) {
            e.nextRenewalAtMs = board.now;
        } else if (event.result() instanceof LeaseRenewalResult.Held h) {
            e.nextRenewalAtMs = board.now;
            onRenewed(e, request, h);
        } else if (event.result() instanceof LeaseRenewalResult.Rejected r) {
            onRejected(e, request, r.cause());
        } else if (event.result() instanceof LeaseRenewalResult.Unanswered u) {
            e.unansweredCalls++;
            e.nextRenewalAtMs = board.now + RENEWAL_RETRY_DELAY_MS;
            if (e.unansweredCalls == 1) {
                board.log("event=endpoint_silent endpoint=" + e.registration.id() + " heard_ms_ago="
                        + (board.now - e.lastAnswerAtMs) + " reason=\""
                        + u.reason().replace('"', '\'') + "\"");
            }
        }
        if (!e.renewing && board.now >= e.nextRenewalAtMs) {
            renew(e);
        }
    }

    /**
     * Returns whether the result of a renewal shows that an endpoint has ended: it drained, its entry has expired, and nothing or
     * another instance listens at its address. A refusal alone does not show it for others, since a network failure may look
     * the same and lets entries expire.
     */
    private static boolean isGone(LeasedEndpoint e, LeaseRenewalResult result) {
        boolean ended = result instanceof LeaseRenewalResult.Unanswered u && u.refused()
                || result instanceof LeaseRenewalResult.Rejected r
                        && r.cause() == LeaseRenewalResult.Rejection.OTHER_INCARNATION;
        return ended && !e.registered && e.registration.draining() && e.runs.isEmpty();
    }

    private void forget(LeasedEndpoint e) {
        board.log("event=endpoint_ended endpoint=" + e.registration.id());
        unlisted.remove(e.registration.id());
        board.endpoints.remove(e.registration.id());
        board.placementDue = true;
    }

    private void onRejected(LeasedEndpoint e, PoolEffect.RenewLeases request, LeaseRenewalResult.Rejection cause) {
        switch (cause) {
            case FENCED -> {
                e.fenced = true;
                e.nextRenewalAtMs = board.now + FENCED_RETRY_DELAY_MS;
                listener.onFenced();
            }
            case OTHER_INCARNATION -> {
                resetIncarnation(e, "restarted");
                loseRuns(e, "restarted", t -> isOrderedBefore(t, request.sentAtMs()));
                if (e.runs.isEmpty()) {
                    e.forgetClock();
                }
                e.nextRenewalAtMs = board.now;
            }
            default -> {
                e.nextRenewalAtMs = board.now + RENEWAL_RETRY_DELAY_MS;
            }
        }
    }

    private void onRenewed(LeasedEndpoint e, PoolEffect.RenewLeases request, LeaseRenewalResult.Held h) {
        boolean otherIncarnation = e.incarnation != 0 && e.incarnation != h.incarnation();
        if (otherIncarnation && request.sentAtMs() < e.lastAnsweredCallSentAtMs) {
            board.log("event=renewal_outdated endpoint=" + e.registration.id() + " incarnation=" + h.incarnation()
                    + " current=" + e.incarnation);
            return;
        }
        if (otherIncarnation) {
            resetIncarnation(e, "restarted");
            e.forgetClock();
        }
        e.incarnation = h.incarnation();
        e.lastAnsweredCallSentAtMs = Math.max(e.lastAnsweredCallSentAtMs, request.sentAtMs());
        e.setClock(h.clockMs(), request.sentAtMs(), board.now);
        if (otherIncarnation && !e.runs.isEmpty()) {
            // The new incarnation accepts starts that were addressed to the earlier one, with deadlines of its clock.
            e.extendLease(board.now, MAX_LEASE_MS);
            repeatStops(e);
        }
        if (e.unansweredCalls > 0) {
            board.log("event=endpoint_back endpoint=" + e.registration.id() + " unanswered=" + e.unansweredCalls);
            e.unansweredCalls = 0;
        }
        for (RunEnd end : h.ends()) {
            if (end.sequence() > e.acknowledgedSequence) {
                e.acknowledgedSequence = end.sequence();
                onRunEndReported(e, end);
            }
        }
        reconcileRuns(e, request, h);
        if (!e.synced) {
            e.synced = true;
            board.placementDue = true;
        }
    }

    private void onRunEndReported(LeasedEndpoint e, RunEnd end) {
        board.placementDue = true;
        OwnedTask task = e.runs.get(end.run());
        if (task != null) {
            listener.onRunEnded(task, end.cause());
            return;
        }
        e.orphanRuns.remove(end.run());
        if (end.cause() == RunEnd.Cause.DONE && !listener.onOrphanRunDone(end.run()) && isTakingOver()) {
            orphanDoneTasks
                    .computeIfAbsent(end.run().job(), j -> new HashSet<>())
                    .add(end.run().task());
        }
    }

    /** Compares the runs that the endpoint lists as running with the known runs. */
    private void reconcileRuns(LeasedEndpoint e, PoolEffect.RenewLeases request, LeaseRenewalResult.Held h) {
        Map<RunId, Integer> running = new HashMap<>();
        h.running().forEach(r -> running.put(r.run(), r.percent()));
        for (OwnedTask t : new ArrayList<>(e.runs.values())) {
            Integer percent = running.remove(t.run());
            if (percent != null) {
                listener.onRunListed(t, percent, h.clockMs());
            } else if (isAnsweredBefore(t, request.sentAtMs())) {
                listener.onRunLost(t, "not listed");
            }
        }
        e.orphanRuns.keySet().retainAll(running.keySet());
        for (RunId r : running.keySet()) {
            OwnedJob job = board.jobs.get(r.job());
            if (job == null || job.ending || !adopt(job, e, r)) {
                e.orphanRuns.putIfAbsent(r, new LeasedEndpoint.Orphan(board.now, board.now));
            }
        }
    }

    /** Returns whether the last order for the run was answered before the list of runs was requested. */
    private static boolean isAnsweredBefore(OwnedTask t, long sentAtMs) {
        switch (t.state) {
            case RUNNING:
                return t.confirmedAtMs < sentAtMs;
            case STOPPING:
                return t.stopAccepted && t.confirmedAtMs < sentAtMs;
            default:
                return false;
        }
    }

    /** Returns whether the run was started or its stop was ordered before a call was sent. */
    private static boolean isOrderedBefore(OwnedTask t, long sentAtMs) {
        switch (t.state) {
            case RUNNING:
                return t.confirmedAtMs < sentAtMs;
            case STOPPING:
                return t.stopSentAtMs < sentAtMs;
            default:
                return false;
        }
    }

    /**
     * Discards what is known of an earlier incarnation of an endpoint, except for the runs: an order names only the
     * endpoint's identifier, so that a run may have been started by the current incarnation.
     */
    private void resetIncarnation(LeasedEndpoint e, String why) {
        board.warn("event=endpoint_" + why + " endpoint=" + e.registration.id() + " runs=" + e.runs.size());
        e.acknowledgedSequence = 0;
        e.incarnation = 0;
        e.orphanRuns.clear();
        e.synced = false;
        e.renewing = false;
        e.probing = false;
        e.lastAnsweredCallSentAtMs = Long.MIN_VALUE;
    }

    /** Repeats the stops of runs: the current incarnation does not know those that an earlier one accepted. */
    private void repeatStops(LeasedEndpoint e) {
        for (OwnedTask t : e.runs.values()) {
            if (t.state == OwnedTask.State.STOPPING) {
                t.stopAccepted = false;
                t.stopSentAtMs = board.now;
                board.emit(new PoolEffect.Stop(e.registration, board.token, t.run()));
            }
        }
    }

    /** Reports those runs of the endpoint as lost that match a condition. */
    private void loseRuns(LeasedEndpoint e, String why, Predicate<OwnedTask> lost) {
        for (OwnedTask t : List.copyOf(e.runs.values())) {
            if (lost.test(t)) {
                listener.onRunLost(t, why);
            }
        }
    }

    private void stopOrphans(LeasedEndpoint e) {
        long stopDelayMs = board.role == OwnerRole.ZONE_OWNER ? ZONE_ORPHAN_STOP_DELAY_MS : ORPHAN_STOP_DELAY_MS;
        if (e.orphanRuns.isEmpty() || board.now - board.ownerSinceMs < stopDelayMs) {
            return;
        }
        for (Map.Entry<RunId, LeasedEndpoint.Orphan> o : e.orphanRuns.entrySet()) {
            if (board.now - o.getValue().stopSentAtMs() >= stopDelayMs) {
                o.setValue(o.getValue().stopSent(board.now));
                board.log("event=stop_orphan run=" + o.getKey() + " endpoint=" + e.registration.id());
                board.emit(new PoolEffect.Stop(e.registration, board.token, o.getKey()));
            }
        }
    }

    /**
     * Returns the latest time since which every endpoint has reported its runs under the current token. A VM that started
     * recently may not know all endpoints: those of an isolated zone have left the list, although the zone owner still uses
     * them.
     *
     * @return the time in milliseconds, or {@link Long#MIN_VALUE} if an endpoint has not reported or may be unknown
     */
    long allEndpointsSyncedSinceMs() {
        return board.now - firstListRequestedAtMs >= UNLISTED_RETENTION_MS
                ? knownEndpointsSyncedSinceMs()
                : Long.MIN_VALUE;
    }

    /**
     * Returns the latest time since which every known endpoint has reported its runs under the current token.
     *
     * @return the time in milliseconds, or {@link Long#MIN_VALUE} if an endpoint has not reported, or if this VM does not own
     *     the whole pool or has not read the list of endpoints since it became owner
     */
    long knownEndpointsSyncedSinceMs() {
        if (board.role != OwnerRole.OWNER || listRequestedAtMs < board.ownerSinceMs) {
            return Long.MIN_VALUE;
        }
        long since = Long.MAX_VALUE;
        for (LeasedEndpoint e : board.endpoints.values()) {
            since = Math.min(since, e.synced ? e.lastAnsweredCallSentAtMs : Long.MIN_VALUE);
        }
        return since;
    }

    /** Removes and returns the tasks of a job that endpoints reported as done before the job was forwarded. */
    Set<Integer> takeOrphanDoneTasks(String job) {
        Set<Integer> done = orphanDoneTasks.remove(job);
        return done == null ? Set.of() : done;
    }

    /** Returns whether orphan runs of a job are known, running or done. */
    boolean hasOrphanRunsOf(String job) {
        return orphanDoneTasks.containsKey(job)
                || board.endpoints.values().stream().anyMatch(e -> e.orphanRuns.keySet().stream()
                        .anyMatch(r -> r.job().equals(job)));
    }

    /** Assigns the orphan runs of a job, which an earlier owner started, to the tasks of the job. */
    void adopt(OwnedJob job) {
        for (LeasedEndpoint e : board.endpoints.values()) {
            List<RunId> mine = new ArrayList<>();
            for (RunId r : e.orphanRuns.keySet()) {
                if (r.job().equals(job.spec.id())) {
                    mine.add(r);
                }
            }
            boolean extendedAlready = !e.runs.isEmpty();
            for (RunId r : mine) {
                adopt(job, e, r);
            }
            if (!extendedAlready && !e.runs.isEmpty() && !e.probing) {
                e.probing = true;
                renew(e, 0);
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
        // The earlier owner of the run granted a lease that is not known here.
        e.extendLease(board.now, MAX_LEASE_MS);
        return true;
    }
}
