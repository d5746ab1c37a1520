package org.gooseberrypier.load.cluster;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpRequestSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;

/** Sends the HTTP requests of operators: publishes tickets, requests the ticket in force and reads metrics. */
final class OperatorClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long REQUEST_TIMEOUT_MS = 5_000;
    private static final int OK = 200;

    private final HttpClient http;

    OperatorClient(HttpClient http) {
        this.http = http;
    }

    CompletableFuture<HttpReply> publish(HostPort platform, Ticket ticket) {
        byte[] json = TicketCodec.format(ticket).bytes();
        return http.send(
                platform,
                new HttpRequestSpec("POST", "/v1/streams/tickets/records", Map.of(), json, REQUEST_TIMEOUT_MS));
    }

    /** Requests the ticket in force of a VM; {@link InForce#NONE} if the VM does not answer. */
    CompletableFuture<InForce> inForce(HostPort operators) {
        return http.send(operators, HttpRequestSpec.get("/v1/ticket", REQUEST_TIMEOUT_MS))
                .handle((reply, error) -> error == null ? parse(reply) : InForce.NONE);
    }

    /** Reads the metrics of a VM; labels are dropped and the values of one name are summed. */
    CompletableFuture<Map<String, Double>> metrics(HostPort operators) {
        return http.send(operators, HttpRequestSpec.get("/metrics", REQUEST_TIMEOUT_MS))
                .handle((reply, error) -> error == null && reply.status() == OK ? metrics(reply) : Map.of());
    }

    private static InForce parse(HttpReply reply) {
        try {
            var json = MAPPER.readTree(reply.body());
            return new InForce(
                    json.path("number").asLong(),
                    json.path("offset").asLong(-1),
                    json.path("uniqueId").asText());
        } catch (IOException e) {
            return InForce.NONE;
        }
    }

    private static Map<String, Double> metrics(HttpReply reply) {
        Map<String, Double> values = new HashMap<>();
        for (String line : reply.text().split("\n")) {
            int space = line.lastIndexOf(' ');
            if (!line.startsWith("#") && space > 0) {
                String name = line.substring(0, space).replaceAll("\\{.*", "");
                values.merge(name, Double.parseDouble(line.substring(space + 1)), Double::sum);
            }
        }
        return values;
    }

    /** The ticket in force on one VM. */
    record InForce(long number, long offset, String uniqueId) {
        static final InForce NONE = new InForce(0, -1, "");
    }
}
