package org.gooseberrypier.internal.submission;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.PeerState;
import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.ticket.VmSpec;
import org.gooseberrypier.ticket.ZoneSet;

/**
 * Determines the home zone of a key, also while tickets add or remove zones.
 *
 * <p>The home zone is the availability zone that deduplicates the submissions of the key and runs its job.
 */
final class HomeZones {

    private final Blackboard board;

    HomeZones(Blackboard board) {
        this.board = board;
    }

    /**
     * Returns the home zone of a key: the zone named by the caller, else the zone derived from the set of zones at the
     * key's submission time.
     *
     * @param job the job of the key
     * @param key the key
     * @param nowMs the time in milliseconds since the epoch, which is used for a key without a submission time
     * @return the zone, empty if no zone is known
     */
    Optional<ZoneId> homeOf(JobId job, IdempotencyKey key, long nowMs) {
        if (key.homeZone().isPresent()) {
            return key.homeZone();
        }
        Collection<ZoneId> zones = board.tickets().inForce().zonesAt(submissionTimeMs(key, nowMs));
        return ShardHolders.homeZone(job, zones);
    }

    /** Tells whether this VM's zone is the home zone of a key. */
    boolean isLocal(JobId job, IdempotencyKey key, long nowMs) {
        return homeOf(job, key, nowMs).equals(Optional.of(board.settings().zone()));
    }

    /**
     * Tells whether a former home zone of a key may still start its job.
     *
     * <p>A derived home zone changes when a ticket changes the set of zones. The new home zone refuses the key until
     * every VM of the former one has reported that the ticket is in force there. The job of a key without a submission
     * time may also have started before the change; such a key is also refused for the retention period.
     *
     * @param job the job of the key
     * @param key the key
     * @param nowMs the time in milliseconds since the epoch
     * @return whether the key must be refused for now
     */
    boolean mayStartInFormerZone(JobId job, IdempotencyKey key, long nowMs) {
        if (key.homeZone().isPresent()) {
            return false;
        }
        List<ZoneSet> sets = board.tickets().inForce().zoneSets();
        long timeMs = submissionTimeMs(key, nowMs);
        boolean hasSubmissionTime = KeyedSubmission.submittedAtMs(key).isPresent();
        ZoneSet chosen = null;
        for (int i = sets.size() - 1; i >= 0; i--) {
            ZoneSet set = sets.get(i);
            if (chosen == null && (set.effectiveFromMs() <= timeMs || i == 0)) {
                chosen = set;
            } else if (chosen != null && !homeIn(set, job).equals(homeIn(chosen, job))) {
                boolean mayPredateChange =
                        !hasSubmissionTime && nowMs < sets.get(i + 1).effectiveFromMs() + retentionMs();
                if (mayPredateChange || !isTicketKnownIn(homeIn(set, job), chosen.ticketNumber())) {
                    return true;
                }
            }
        }
        return false;
    }

    private static Optional<ZoneId> homeIn(ZoneSet set, JobId job) {
        return ShardHolders.homeZone(job, set.zones());
    }

    private long retentionMs() {
        return board.tickets().inForce().limits().keyRetentionMs()
                + board.settings().maxClockSkewMs();
    }

    /** Tells whether all VMs that the ticket in force lists in a zone have reported a ticket or a later one. */
    private boolean isTicketKnownIn(Optional<ZoneId> zone, long ticketNumber) {
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            if (zone.equals(Optional.of(v.zone())) && !knowsTicket(v.id(), ticketNumber)) {
                return false;
            }
        }
        return true;
    }

    private boolean knowsTicket(VmId vm, long ticketNumber) {
        PeerState peer = board.membership().peers().get(vm);
        boolean self = vm.equals(board.settings().self().vm());
        return self || peer != null && peer.ticketNumber() >= ticketNumber;
    }

    private static long submissionTimeMs(IdempotencyKey key, long nowMs) {
        return KeyedSubmission.submittedAtMs(key).orElse(nowMs);
    }
}
