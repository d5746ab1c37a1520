package org.gooseberrypier.ticket;

import java.util.List;
import java.util.Set;

import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;

/**
 * Validates the values of a ticket that its types do not restrict.
 *
 * <p>The ranges are those of the schema {@code ticket.schema.json} in this package; the checks across several fields
 * are not part of the schema.
 */
public final class TicketValidator {

    private static final int MAX_AUTHOR_LENGTH = 200;
    private static final int MAX_REASON_LENGTH = 1_000;
    private static final int MAX_VMS = 2_000;
    private static final int MAX_ENDPOINTS = 20_000;
    private static final int MAX_TEAMS = 2_000;
    private static final int MAX_WORKS = 256;
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_CONNECTIONS = 65_535;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final int MAX_QUOTA = 10_000_000;
    private static final int MAX_TASKS_PER_JOB = 10_000;
    private static final long MAX_BODY_BYTES = 64L << 20;
    private static final long MAX_DEADLINE_MS = 3_600_000;
    private static final long MIN_KEY_RETENTION_MS = 1_000;

    private TicketValidator() {}

    /**
     * Checks a ticket independently of the configuration in force.
     *
     * @param ticket the ticket
     * @return the first problems found; empty if the ticket is valid
     */
    public static List<TicketProblem> check(Ticket ticket) {
        ProblemList problems = new ProblemList();
        problems.checkRange("$.number", ticket.number(), 1, Long.MAX_VALUE);
        problems.checkName("$.uniqueId", ticket.uniqueId());
        problems.checkText("$.author", ticket.author(), MAX_AUTHOR_LENGTH);
        problems.checkText("$.reason", ticket.reason(), MAX_REASON_LENGTH);
        ticket.vms().ifPresent(v -> checkVms(v, problems));
        ticket.endpoints().ifPresent(e -> checkEndpoints(e, problems));
        ticket.teams().ifPresent(t -> checkTeams(t, problems));
        ticket.limits().ifPresent(l -> checkLimits(l, problems));
        return problems.toList();
    }

    /**
     * Checks the configuration that results from a valid ticket.
     *
     * @param ticket the ticket
     * @param after the configuration with the ticket applied
     * @return the first problems found; empty if the configuration is valid
     */
    public static List<TicketProblem> check(Ticket ticket, Configuration after) {
        ProblemList problems = new ProblemList();
        if (after.vms().values().stream().allMatch(VmSpec::leaving)) {
            problems.add("$.vms", "at least one VM that does not leave must be there");
        }
        if (ticket.vms().isPresent() || ticket.endpoints().isPresent()) {
            checkZones(after, problems);
        }
        if (after.zoneSets().size() > ZoneSet.MAX_SETS) {
            problems.add("$.vms", "more than " + ZoneSet.MAX_SETS + " changes of the zones within 24 hours");
        }
        return problems.toList();
    }

    private static void checkZones(Configuration after, ProblemList problems) {
        Set<ZoneId> zones = after.zones();
        for (EndpointSpec e : after.endpoints().values()) {
            if (!e.leaving() && !zones.contains(e.zone())) {
                problems.add(
                        "$.endpoints",
                        "endpoint \"" + e.id() + "\" stands in zone \"" + e.zone() + "\" that has no VM, allowed are "
                                + zones);
            }
        }
    }

    private static void checkVms(List<VmSpec> vms, ProblemList problems) {
        problems.checkSize("$.vms", vms.size(), 1, MAX_VMS);
        Set<String> names = ProblemList.newValueSet();
        Set<String> addresses = ProblemList.newValueSet();
        for (int i = 0; i < vms.size(); i++) {
            VmSpec vm = vms.get(i);
            String path = "$.vms[" + i + "]";
            problems.checkName(path + ".id", vm.id().name());
            problems.checkUnique(path + ".id", "VM", vm.id().name(), names);
            problems.checkName(path + ".zone", vm.zone().name());
            problems.checkAddress(path + ".peerAddress", vm.peerAddress());
            problems.checkUnique(path + ".peerAddress", "address", vm.peerAddress(), addresses);
        }
    }

    private static void checkEndpoints(List<EndpointSpec> endpoints, ProblemList problems) {
        problems.checkSize("$.endpoints", endpoints.size(), 0, MAX_ENDPOINTS);
        Set<String> names = ProblemList.newValueSet();
        Set<String> addresses = ProblemList.newValueSet();
        for (int i = 0; i < endpoints.size(); i++) {
            EndpointSpec endpoint = endpoints.get(i);
            String path = "$.endpoints[" + i + "]";
            checkEndpoint(path, endpoint, problems);
            problems.checkUnique(path + ".id", "endpoint", endpoint.id().name(), names);
            problems.checkUnique(path + ".address", "address", endpoint.address(), addresses);
        }
    }

    private static void checkEndpoint(String path, EndpointSpec endpoint, ProblemList problems) {
        problems.checkName(path + ".id", endpoint.id().name());
        problems.checkName(path + ".zone", endpoint.zone().name());
        problems.checkAddress(path + ".address", endpoint.address());
        problems.checkSize(path + ".works", endpoint.works().size(), 1, MAX_WORKS);
        for (WorkId w : endpoint.works()) {
            problems.checkName(path + ".works", w.name());
        }
        problems.checkRange(path + ".slots", endpoint.slots(), 1, MAX_SLOTS);
        problems.checkRange(path + ".connections", endpoint.connections(), 1, MAX_CONNECTIONS);
        if (endpoint.connections() < endpoint.slots()) {
            problems.add(
                    path + ".connections",
                    endpoint.connections() + " is out of range, allowed are at least the " + endpoint.slots()
                            + " slots");
        }
    }

    private static void checkTeams(List<TeamSpec> teams, ProblemList problems) {
        problems.checkSize("$.teams", teams.size(), 0, MAX_TEAMS);
        Set<String> names = ProblemList.newValueSet();
        for (int i = 0; i < teams.size(); i++) {
            TeamSpec team = teams.get(i);
            String path = "$.teams[" + i + "]";
            problems.checkName(path + ".id", team.id().name());
            problems.checkUnique(path + ".id", "team", team.id().name(), names);
            problems.checkRange(path + ".weight", team.weight(), 1, MAX_WEIGHT);
            problems.checkRange(path + ".maxRunning", team.maxRunning(), 0, MAX_QUOTA);
            problems.checkRange(path + ".maxQueued", team.maxQueued(), 0, MAX_QUOTA);
        }
    }

    private static void checkLimits(Limits limits, ProblemList problems) {
        problems.checkRange("$.limits.maxTasksPerJob", limits.maxTasksPerJob(), 1, MAX_TASKS_PER_JOB);
        problems.checkRange("$.limits.maxBodyBytes", limits.maxBodyBytes(), 1, MAX_BODY_BYTES);
        problems.checkRange("$.limits.maxDeadlineMs", limits.maxDeadlineMs(), 1, MAX_DEADLINE_MS);
        problems.checkRange(
                "$.limits.keyRetentionMs", limits.keyRetentionMs(), MIN_KEY_RETENTION_MS, ZoneSet.RETENTION_MS);
    }
}
