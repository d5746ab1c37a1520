package org.gooseberrypier.random;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.TeamSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.VmSpec;

/** Simulates operators that publish tickets, sometimes two with the same number and sometimes invalid records. */
final class FakeOperator {

    private static final int ENDPOINTS_PER_ZONE = 3;
    private static final int SLOTS = 4;
    private static final int CONNECTIONS = 64;
    private static final int BASE_PORT = 1_000;

    private final UniformRandomProvider random;
    private final FakeLog log;
    private final List<FakeVm> vms;
    private long number;

    FakeOperator(UniformRandomProvider random, FakeLog log, List<FakeVm> vms) {
        this.random = random;
        this.log = log;
        this.vms = vms;
    }

    void publishFirst() {
        number = 1;
        append("first", false);
    }

    void publishNext() {
        number++;
        append("a", true);
        if (random.nextDouble() < 0.3) {
            append("b", true);
        }
        if (random.nextDouble() < 0.2) {
            log.append(StreamId.TICKETS, Payload.of("{\"number\": nonsense"));
        }
    }

    private void append(String author, boolean changeEndpoints) {
        Ticket ticket = new Ticket(
                number,
                author + number,
                author,
                "change",
                Optional.of(vmSpecs()),
                Optional.of(endpointSpecs(changeEndpoints)),
                Optional.of(List.of(new TeamSpec(FakeCallers.TEAM, 1, 10_000, 10_000))),
                Optional.empty());
        log.append(StreamId.TICKETS, TicketCodec.format(ticket));
    }

    private List<VmSpec> vmSpecs() {
        List<VmSpec> specs = new ArrayList<>();
        for (FakeVm v : vms) {
            specs.add(new VmSpec(v.id(), v.zone(), address(specs.size()), false));
        }
        return specs;
    }

    private List<EndpointSpec> endpointSpecs(boolean change) {
        List<EndpointSpec> specs = new ArrayList<>();
        List<ZoneId> zones = vms.stream().map(FakeVm::zone).distinct().toList();
        for (ZoneId z : zones) {
            for (int i = 0; i < ENDPOINTS_PER_ZONE; i++) {
                boolean leaving = change && i > 0 && random.nextDouble() < 0.3;
                specs.add(new EndpointSpec(
                        new EndpointId(z.name() + "-e" + i),
                        z,
                        address(100 + specs.size()),
                        Set.of(FakeCallers.WORK),
                        SLOTS,
                        CONNECTIONS,
                        Optional.empty(),
                        leaving));
            }
        }
        return specs;
    }

    private static String address(int index) {
        return "127.0.0.1:" + (BASE_PORT + index);
    }
}
