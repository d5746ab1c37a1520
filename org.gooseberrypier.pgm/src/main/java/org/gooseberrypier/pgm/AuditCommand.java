package org.gooseberrypier.pgm;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;

/**
 * Prints the audit entries that the platform's log still contains, one JSON object per line.
 *
 * <p>The exit code is 0, or 1 if the log cannot be read.
 */
@Parameters(commandDescription = "Print the audit entries that the log still contains")
final class AuditCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Parameter(
            names = "--platform",
            required = true,
            converter = HostPortConverter.class,
            description = "IP:port of the platform")
    private HostPort platform;

    @Parameter(names = "--kind", description = "print only entries of this kind, for example TICKET_REFUSED")
    private String kind = "";

    private final Set<String> seen = new HashSet<>();

    @Override
    public int call() {
        try (PlatformSession session = new PlatformSession(platform)) {
            List<LogRecord> records = session.readAll(StreamId.AUDIT);
            records.forEach(this::print);
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println(platform + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private void print(LogRecord record) {
        try {
            JsonNode json = MAPPER.readTree(record.data().text());
            for (JsonNode e : json.path("entries")) {
                printEntry(json.path("vm").asText("?"), json.path("incarnation").asText("?"), e);
            }
        } catch (JsonProcessingException e) {
            System.out.println("{\"offset\":" + record.offset() + ",\"error\":\"not JSON\"}");
        }
    }

    private void printEntry(String vm, String incarnation, JsonNode entry) {
        boolean isNew =
                seen.add(vm + '#' + incarnation + '#' + entry.path("sequence").asText());
        if (isNew && (kind.isEmpty() || entry.path("kind").asText().equals(kind)) && entry instanceof ObjectNode o) {
            System.out.println(o.put("vm", vm));
        }
    }
}
