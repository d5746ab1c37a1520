package org.gooseberrypier.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.LogRecord;

/** Builders of valid tickets and of records for tests. */
public final class Tickets {

    private Tickets() {}

    /** Returns a ticket that sets all sections: two VMs, the given number of endpoints, one team and the limits. */
    public static Ticket allSections(long number, String uniqueId, int endpoints) {
        List<EndpointSpec> list = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            list.add(endpoint(i));
        }
        return new Ticket(
                number,
                uniqueId,
                "operator",
                "test",
                Optional.of(List.of(vm("vm-1", "tartu-a", false), vm("vm-2", "tartu-b", false))),
                Optional.of(list),
                Optional.of(List.of(new TeamSpec(new TeamId("tartu"), 1, 100, 1_000))),
                Optional.of(Limits.DEFAULT));
    }

    /** Returns a ticket that changes only the teams. */
    public static Ticket teamsOnly(long number, String uniqueId, int maxRunning) {
        return new Ticket(
                number,
                uniqueId,
                "operator",
                "test",
                Optional.empty(),
                Optional.empty(),
                Optional.of(List.of(new TeamSpec(new TeamId("tartu"), 1, maxRunning, 1_000))),
                Optional.empty());
    }

    /** Returns a ticket that changes only the VMs. */
    public static Ticket vmsOnly(long number, String uniqueId, VmSpec... vms) {
        return new Ticket(
                number,
                uniqueId,
                "operator",
                "test",
                Optional.of(List.of(vms)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    /** Returns a VM. */
    public static VmSpec vm(String name, String zone, boolean leaving) {
        int port = 1_000 + Math.abs(name.hashCode() % 50_000);
        return new VmSpec(new VmId(name), new ZoneId(zone), "127.0.0.1:" + port, leaving);
    }

    /** Returns an endpoint. */
    public static EndpointSpec endpoint(int i) {
        return new EndpointSpec(
                new EndpointId("e-" + i),
                new ZoneId(i % 2 == 0 ? "tartu-a" : "tartu-b"),
                "10.0." + i / 250 + "." + (i % 250 + 1) + ":8080",
                Set.of(new WorkId("verify")),
                8,
                64,
                Optional.empty(),
                false);
    }

    /** Returns a record that holds a ticket. */
    public static LogRecord record(long offset, Ticket ticket) {
        return new LogRecord(offset, offset * 1_000, TicketCodec.format(ticket));
    }

    /** Returns a record that holds a text. */
    public static LogRecord record(long offset, String text) {
        return new LogRecord(offset, offset * 1_000, Payload.of(text));
    }

    /** Returns a record that holds a checkpoint. */
    public static LogRecord record(long offset, Checkpoint checkpoint) {
        return new LogRecord(offset, offset * 1_000, CheckpointCodec.format(checkpoint));
    }
}
