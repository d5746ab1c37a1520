package org.gooseberrypier.ticket;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;

/**
 * The complete configuration that results from applying all accepted tickets up to a number.
 *
 * @param number the number of the last applied ticket, 0 before the first
 * @param uniqueId the unique id of that ticket
 * @param offset the offset of its record in the ticket stream, -1 before the first ticket
 * @param vms all entry VMs by name
 * @param endpoints all endpoints by name
 * @param teams all teams by name
 * @param limits the limits
 * @param zoneSets the zone sets that are still retained, oldest first; the last one may take effect in the future
 */
public record Configuration(
        long number,
        String uniqueId,
        long offset,
        Map<VmId, VmSpec> vms,
        Map<EndpointId, EndpointSpec> endpoints,
        Map<TeamId, TeamSpec> teams,
        Limits limits,
        List<ZoneSet> zoneSets) {

    /** The configuration before the first ticket. */
    public static final Configuration NONE =
            new Configuration(0, "", -1, Map.of(), Map.of(), Map.of(), Limits.DEFAULT, List.of());

    /** Copies the list of zone sets. */
    public Configuration {
        zoneSets = List.copyOf(zoneSets);
    }

    /**
     * Returns whether a ticket is in force.
     *
     * @return false before the first ticket
     */
    public boolean isPresent() {
        return number > 0;
    }

    /**
     * Applies an accepted ticket.
     *
     * @param ticket the ticket
     * @param ticketOffset the offset of its record in the ticket stream
     * @param appendedAtMs when the platform appended the record, in milliseconds since the epoch
     * @return the configuration with the sections that the ticket sets replaced
     */
    public Configuration apply(Ticket ticket, long ticketOffset, long appendedAtMs) {
        Map<VmId, VmSpec> nextVms = ticket.vms().map(l -> index(l, VmSpec::id)).orElse(vms);
        return new Configuration(
                ticket.number(),
                ticket.uniqueId(),
                ticketOffset,
                nextVms,
                ticket.endpoints().map(l -> index(l, EndpointSpec::id)).orElse(endpoints),
                ticket.teams().map(l -> index(l, TeamSpec::id)).orElse(teams),
                ticket.limits().orElse(limits),
                nextZoneSets(ticket.number(), nextVms, appendedAtMs));
    }

    /**
     * Returns the zones from which the home zone of a key is derived.
     *
     * @param submittedAtMs when the key was first submitted, in milliseconds since the epoch
     * @return the zones, empty before the first ticket
     */
    public SortedSet<ZoneId> zonesAt(long submittedAtMs) {
        for (int i = zoneSets.size() - 1; i >= 0; i--) {
            if (zoneSets.get(i).effectiveFromMs() <= submittedAtMs || i == 0) {
                return zoneSets.get(i).zones();
            }
        }
        return new TreeSet<>();
    }

    private List<ZoneSet> nextZoneSets(long ticketNumber, Map<VmId, VmSpec> nextVms, long appendedAtMs) {
        SortedSet<ZoneId> zones = new TreeSet<>();
        for (VmSpec v : nextVms.values()) {
            if (!v.leaving()) {
                zones.add(v.zone());
            }
        }
        if (zoneSets.isEmpty()) {
            return zones.isEmpty() ? zoneSets : List.of(new ZoneSet(ticketNumber, 0, zones));
        }
        ZoneSet last = zoneSets.get(zoneSets.size() - 1);
        if (zones.isEmpty() || last.zones().equals(zones)) {
            return zoneSets;
        }
        long effectiveFromMs = Math.max(last.effectiveFromMs() + 1, appendedAtMs + ZoneSet.EFFECT_DELAY_MS);
        List<ZoneSet> nextSets = new ArrayList<>(zoneSets);
        nextSets.add(new ZoneSet(ticketNumber, effectiveFromMs, zones));
        while (nextSets.size() > 1 && nextSets.get(1).effectiveFromMs() < appendedAtMs - ZoneSet.RETENTION_MS) {
            nextSets.remove(0);
        }
        return nextSets;
    }

    /**
     * Returns the availability zones that have an entry VM.
     *
     * @return the zones in their natural order
     */
    public SortedSet<ZoneId> zones() {
        SortedSet<ZoneId> zones = new TreeSet<>();
        for (VmSpec v : vms.values()) {
            zones.add(v.zone());
        }
        return zones;
    }

    private static <K, V> Map<K, V> index(Collection<V> specs, java.util.function.Function<V, K> id) {
        Map<K, V> map = new LinkedHashMap<>();
        for (V s : specs) {
            map.put(id.apply(s), s);
        }
        return java.util.Collections.unmodifiableMap(map);
    }
}
