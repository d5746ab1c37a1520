package org.gooseberrypier.server.operator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;

/** Formats the configuration in force as JSON; its sections have the format of tickets. */
final class TicketFormat {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TicketFormat() {}

    static String format(Configuration inForce) {
        Ticket ticket = new Ticket(
                inForce.number(),
                inForce.uniqueId(),
                "",
                "",
                Optional.of(List.copyOf(inForce.vms().values())),
                Optional.of(List.copyOf(inForce.endpoints().values())),
                Optional.of(List.copyOf(inForce.teams().values())),
                Optional.of(inForce.limits()));
        try {
            ObjectNode json =
                    (ObjectNode) MAPPER.readTree(TicketCodec.format(ticket).bytes());
            json.remove(List.of("author", "reason"));
            json.put("offset", inForce.offset());
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
