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

/** The VMs of the ticket that were heard of lately; for efficiency only, nothing that must hold depends on it. */
final class LivePeers {

    private static final long SILENCE_MS = 3_000;
    private static final int FAR_TURNS = 2;

    private final Blackboard board;
    private final Map<VmId, Heard> heard = new HashMap<>();
    private final Map<ZoneId, List<VmId>> byZone = new HashMap<>();

    LivePeers(Blackboard board) {
        this.board = board;
    }

    /** Notes a message and tells whether the sender was not live before. */
    boolean recordMessage(Member from, long nowMs) {
        VmSpec spec = board.tickets().inForce().vms().get(from.vm());
        if (spec == null) {
            return false;
        }
        Heard before = heard.put(from.vm(), new Heard(from, nowMs));
        return before == null || !before.member.equals(from) || isSilent(before, nowMs);
    }

    /** Forgets a VM whose link went down until it is heard again; tells whether it was live. */
    boolean remove(VmId vm) {
        return heard.remove(vm) != null;
    }

    /** Forgets the VMs that went silent or left the ticket and tells whether there were any. */
    boolean removeExpired(long nowMs) {
        var vms = board.tickets().inForce().vms();
        return heard.entrySet().removeIf(e -> isSilent(e.getValue(), nowMs) || !vms.containsKey(e.getKey()));
    }

    boolean isLive(VmId vm) {
        return heard.containsKey(vm);
    }

    boolean isLiveIncarnation(Member member) {
        Heard h = heard.get(member.vm());
        return h != null && h.member.equals(member);
    }

    int size() {
        return heard.size();
    }

    /** Sorts the live VMs that are not leaving, this one included, by their zone. */
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

    private boolean isSilent(Heard h, long nowMs) {
        return nowMs - h.atMs > silenceMs(h.member.vm());
    }

    /** A VM of another zone sends to the VMs of this zone by turns, so that each hears it more seldom. */
    private long silenceMs(VmId vm) {
        Configuration config = board.tickets().inForce();
        VmSpec spec = config.vms().get(vm);
        if (spec == null || spec.zone().equals(board.settings().zone())) {
            return SILENCE_MS;
        }
        long turnMs = MembershipSection.REMOTE_HEARTBEAT_INTERVAL_MS
                * config.vms().values().stream()
                        .filter(v -> v.zone().equals(board.settings().zone()))
                        .count();
        return SILENCE_MS + FAR_TURNS * turnMs;
    }

    private record Heard(Member member, long atMs) {}
}
