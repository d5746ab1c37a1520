package org.gooseberrypier.internal.pool;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.VmIncarnation;

/**
 * Tracks the entry VMs that have a link to this VM and decides for which of them an owner may start tasks.
 *
 * <p>An entry VM that has not heard from its owner for the silence timeout of the link forwards its jobs to the next owner.
 * The next owner starts their tasks after {@link DuplicateRunGuard#EARLIER_RUNS_TIMEOUT_MS} also if it cannot reach the
 * endpoints of the earlier one. Fault: the earlier owner was frozen meanwhile; it resumes with all jobs and links as they
 * were, long before it can detect that the links are dead. Therefore the owner starts tasks only for a VM that has
 * acknowledged a recent heartbeat: at the time when that heartbeat was sent, the VM had not left this owner yet.
 */
final class LinkedVms {

    /**
     * Validity of an acknowledgement, from the time when its heartbeat was sent, in milliseconds. A start that was sent at
     * its end expires with its lease before the next owner may start the same task.
     */
    static final long ACKNOWLEDGEMENT_VALIDITY_MS = 400;

    /**
     * Time for which a VM whose link was lost may own its availability zone, in milliseconds. It exceeds the longest isolation
     * of a zone after which entries of its endpoints are still known.
     */
    private static final long ZONE_OWNER_MAX_MS = 60_000;

    /** Maximum number of lost VMs that are remembered. */
    private static final int MAX_LOSSES = 1_024;

    /** Time between two events of an owner after which it treats itself as having been paused, in milliseconds. */
    private static final long PAUSE_THRESHOLD_MS = ACKNOWLEDGEMENT_VALIDITY_MS;

    private final PoolBoard board;
    private final Map<VmIncarnation, Link> links = new LinkedHashMap<>();
    /** When the links of VMs were lost that are not linked now, in milliseconds, by address; the oldest first. */
    private final Map<String, Loss> losses = new LinkedHashMap<>();
    /** VMs that have not acknowledged a heartbeat since the last pause of this VM. */
    private final Set<VmIncarnation> unconfirmed = new HashSet<>();
    /** When this VM last resumed after a pause, in milliseconds; acknowledgements of earlier heartbeats are void. */
    private long pausedUntilMs = Long.MIN_VALUE;

    private boolean ownCallersUnconfirmed;
    /** When the last pause of this VM began, in milliseconds; its own callers may have left since then. */
    private long pausedSinceMs = Long.MIN_VALUE / 2;

    /**
     * Link of an entry VM.
     *
     * @param number the number of the link
     * @param upSinceMs when the link came up, in milliseconds
     * @param acknowledgesHeartbeats whether the VM acknowledges heartbeats; VMs of earlier versions do not
     * @param acknowledgedMs when the latest heartbeat was sent that was acknowledged since the last pause of this VM, in
     *     milliseconds, or {@link Long#MIN_VALUE}
     * @param heardMs when the latest acknowledged heartbeat was sent, in milliseconds
     */
    private record Link(
            long number, long upSinceMs, boolean acknowledgesHeartbeats, long acknowledgedMs, long heardMs) {

        Link acknowledged(long sentAtMs) {
            return new Link(number, upSinceMs, true, Math.max(acknowledgedMs, sentAtMs), Math.max(heardMs, sentAtMs));
        }

        Link unacknowledged() {
            return new Link(number, upSinceMs, acknowledgesHeartbeats, Long.MIN_VALUE, heardMs);
        }
    }

    /**
     * Loss of a link.
     *
     * @param zone the availability zone of the VM
     * @param atMs when the link was lost, in milliseconds
     */
    private record Loss(String zone, long atMs) {}

    LinkedVms(PoolBoard board) {
        this.board = board;
    }

    /** Returns the linked VMs in the order in which their links came up. */
    Set<VmIncarnation> all() {
        return links.keySet();
    }

    /** Returns for how long the link of a VM has been up, in milliseconds. */
    long linkedMs(VmIncarnation vm) {
        return board.now - links.get(vm).upSinceMs();
    }

    /** Returns whether a link is the current one of its VM; jobs of this VM's own callers need none. */
    boolean isCurrent(VmIncarnation vm, long link) {
        Link current = links.get(vm);
        return vm.equals(board.self()) || current != null && current.number() == link;
    }

    /** Returns whether a VM of the availability zone that has lost its link to this VM may own the zone's endpoints. */
    boolean mayHaveOwner(String zone) {
        return losses.values().stream()
                .anyMatch(l -> l.zone().equals(zone) && board.now - l.atMs() < ZONE_OWNER_MAX_MS);
    }

    /**
     * Returns when an entry VM certainly waited for a job for the last time, in milliseconds: over its link it would have
     * withdrawn the job before it acknowledged the next heartbeat. The receipt of a forward proves nothing: it may have been on its way
     * for as long as a link may be silent.
     */
    long heardMs(VmIncarnation vm, OwnedJob.Subscription subscription, long now) {
        Link current = links.get(vm);
        if (vm.equals(board.self())) {
            return ownCallersUnconfirmed ? pausedSinceMs : now;
        } else if (subscription.downSinceMs() > 0 || current == null || current.number() != subscription.link()) {
            return subscription.heardMs();
        }
        return current.acknowledgesHeartbeats() ? current.heardMs() : now;
    }

    void onUp(VmIncarnation vm, long link, boolean acknowledgesHeartbeats) {
        losses.remove(vm.address());
        links.put(vm, new Link(link, board.now, acknowledgesHeartbeats, Long.MIN_VALUE, board.now));
        unconfirmed.remove(vm);
    }

    void onDown(VmIncarnation vm) {
        losses.remove(vm.address());
        losses.put(vm.address(), new Loss(vm.zone(), board.now));
        losses.values().removeIf(l -> losses.size() > MAX_LOSSES || board.now - l.atMs() >= ZONE_OWNER_MAX_MS);
        links.remove(vm);
        unconfirmed.remove(vm);
    }

    /**
     * Records that a VM has received a heartbeat of this owner.
     *
     * @param sentAtMs when the heartbeat was sent, in milliseconds
     * @return whether this is the first acknowledgement since a pause of this VM
     */
    boolean onAcknowledged(VmIncarnation vm, long sentAtMs) {
        Link link = links.get(vm);
        if (link == null || sentAtMs < pausedUntilMs) {
            return false;
        }
        links.put(vm, link.acknowledged(sentAtMs));
        return unconfirmed.remove(vm);
    }

    /** Returns whether so much time has passed since the last event that this VM must have been paused. */
    boolean isPauseBefore(long nowMs) {
        return board.isOwner() && nowMs - board.now > PAUSE_THRESHOLD_MS;
    }

    /**
     * Discards all acknowledgements after a pause of this VM, and requests that the disconnects of its own callers during
     * the pause are reported.
     *
     * @param sinceMs when the pause began, in milliseconds
     * @return the VMs whose links may have been lost during the pause
     */
    Set<VmIncarnation> onPause(long sinceMs) {
        pausedSinceMs = ownCallersUnconfirmed ? pausedSinceMs : sinceMs;
        pausedUntilMs = board.now;
        links.replaceAll((vm, l) -> l.unacknowledged());
        links.forEach((vm, l) -> {
            if (l.acknowledgesHeartbeats()) {
                unconfirmed.add(vm);
            }
        });
        ownCallersUnconfirmed = true;
        board.emit(new PoolEffect.CheckCallers(board.now));
        return Set.copyOf(unconfirmed);
    }

    /**
     * Records that all disconnects of own callers are known.
     *
     * @param requestedAtMs when the check was requested, in milliseconds
     */
    void onCallersChecked(long requestedAtMs) {
        if (requestedAtMs >= pausedUntilMs) {
            ownCallersUnconfirmed = false;
            board.placementDue = true;
        }
    }

    /** Returns whether tasks of jobs that the VM has forwarded over a link may be started now. */
    boolean mayStartFor(VmIncarnation vm, long link) {
        if (vm.equals(board.self())) {
            return !ownCallersUnconfirmed;
        }
        Link current = links.get(vm);
        return isCurrent(vm, link)
                && (!current.acknowledgesHeartbeats()
                        || board.now <= current.acknowledgedMs() + ACKNOWLEDGEMENT_VALIDITY_MS);
    }
}
