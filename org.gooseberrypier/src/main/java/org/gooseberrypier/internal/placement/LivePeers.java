package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.MembershipSection;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.VmSpec;

/**
 * Tracks the live VMs of the ticket: those that sent a message within the silence timeout.
 *
 * <p>An optimization only: no guarantee depends on it.
 */
final class LivePeers {

    private static final long SILENCE_TIMEOUT_MS = 3_000;
    private static final int REMOTE_ZONE_ROUNDS = 2;

    private final Blackboard board;
    private final Map<VmId, LastMessage> lastMessages = new HashMap<>();
    private final Map<ZoneId, List<VmId>> byZone = new HashMap<>();

    LivePeers(Blackboard board) {
        this.board = board;
    }

    /** Records the receipt of a message; tells whether the sender was not live before. */
    boolean recordMessage(Member from, long nowMs) {
        VmSpec spec = board.tickets().inForce().vms().get(from.vm());
        if (spec == null) {
            return false;
        }
        LastMessage before = lastMessages.put(from.vm(), new LastMessage(from, nowMs));
        return before == null || !before.member.equals(from) || isSilent(before, nowMs);
    }

    /** Removes a VM, for example after its link went down, until its next message; tells whether it was live. */
    boolean remove(VmId vm) {
        return lastMessages.remove(vm) != null;
    }

    /** Removes the VMs that exceeded the silence timeout or are not in the ticket; tells whether there were any. */
    boolean removeExpired(long nowMs) {
        var vms = board.tickets().inForce().vms();
        return lastMessages.entrySet().removeIf(e -> isSilent(e.getValue(), nowMs) || !vms.containsKey(e.getKey()));
    }

    boolean isLive(VmId vm) {
        return lastMessages.containsKey(vm);
    }

    boolean isLiveIncarnation(Member member) {
        LastMessage last = lastMessages.get(member.vm());
        return last != null && last.member.equals(member);
    }

    int size() {
        return lastMessages.size();
    }

    /** Groups the live VMs that are not leaving by zone, this VM included. */
    void groupByZone() {
        byZone.clear();
        Configuration config = board.tickets().inForce();
        for (VmId id : new TreeSet<>(config.vms().keySet())) {
            VmSpec v = config.vms().get(id);
            boolean live = id.equals(board.settings().self().vm()) || isLive(id);
            if (live && !v.leaving()) {
                byZone.computeIfAbsent(v.zone(), z -> new ArrayList<>()).add(id);
            }
        }
    }

    List<VmId> inZone(ZoneId zone) {
        return byZone.getOrDefault(zone, List.of());
    }

    private boolean isSilent(LastMessage last, long nowMs) {
        return nowMs - last.receivedAtMs > silenceTimeoutMs(last.member.vm());
    }

    /**
     * Returns the silence timeout of a VM in milliseconds. It is longer for a VM of another zone, which sends its
     * heartbeats to the VMs of this zone in turn, so that each of them receives fewer.
     */
    private long silenceTimeoutMs(VmId vm) {
        Configuration config = board.tickets().inForce();
        VmSpec spec = config.vms().get(vm);
        if (spec == null || spec.zone().equals(board.settings().zone())) {
            return SILENCE_TIMEOUT_MS;
        }
        long roundMs = MembershipSection.REMOTE_HEARTBEAT_INTERVAL_MS
                * config.vms().values().stream()
                        .filter(v -> v.zone().equals(board.settings().zone()))
                        .count();
        return SILENCE_TIMEOUT_MS + REMOTE_ZONE_ROUNDS * roundMs;
    }

    private record LastMessage(Member member, long receivedAtMs) {}
}
