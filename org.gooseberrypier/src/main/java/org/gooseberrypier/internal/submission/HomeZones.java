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

/** Tells which availability zone decides about a key, also while tickets add and retire zones. */
final class HomeZones {

    private final Blackboard board;

    HomeZones(Blackboard board) {
        this.board = board;
    }

    /** Returns the zone that the caller names, else the one derived from the zones at the key's submission time. */
    Optional<ZoneId> homeOf(JobId job, IdempotencyKey key, long nowMs) {
        if (key.homeZone().isPresent()) {
            return key.homeZone();
        }
        Collection<ZoneId> zones = board.tickets().inForce().zonesAt(timeOf(key, nowMs));
        return ShardHolders.homeZone(job, zones);
    }

    /** Tells whether this VM's zone is the home of a key. */
    boolean isLocal(JobId job, IdempotencyKey key, long nowMs) {
        return homeOf(job, key, nowMs).equals(Optional.of(board.settings().zone()));
    }

    /**
     * Tells whether a former home of a key may still start it.
     *
     * <p>A derived home moves when a ticket changes the set of zones. The new one waits until every VM of the former
     * one has said that the ticket is in force there. A key without a time may also have started before the change.
     */
    boolean mayStartInFormerZone(JobId job, IdempotencyKey key, long nowMs) {
        if (key.homeZone().isPresent()) {
            return false;
        }
        List<ZoneSet> sets = board.tickets().inForce().zoneSets();
        long timeMs = timeOf(key, nowMs);
        boolean timed = KeyedSubmission.submittedAtMs(key).isPresent();
        ZoneSet chosen = null;
        for (int i = sets.size() - 1; i >= 0; i--) {
            ZoneSet set = sets.get(i);
            if (chosen == null && (set.effectiveFromMs() <= timeMs || i == 0)) {
                chosen = set;
            } else if (chosen != null && !homeIn(set, job).equals(homeIn(chosen, job))) {
                boolean recent = !timed && nowMs < sets.get(i + 1).effectiveFromMs() + keptMs();
                if (recent || !hasAcknowledged(homeIn(set, job), chosen.ticketNumber())) {
                    return true;
                }
            }
        }
        return false;
    }

    private static Optional<ZoneId> homeIn(ZoneSet set, JobId job) {
        return ShardHolders.homeZone(job, set.zones());
    }

    private long keptMs() {
        return board.tickets().inForce().limits().keyRetentionMs()
                + board.settings().maxClockSkewMs();
    }

    /** Tells whether every VM that the ticket in force has in a zone knows a ticket. */
    private boolean hasAcknowledged(Optional<ZoneId> zone, long ticketNumber) {
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

    private static long timeOf(IdempotencyKey key, long nowMs) {
        return KeyedSubmission.submittedAtMs(key).orElse(nowMs);
    }
}
