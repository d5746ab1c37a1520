package org.gooseberrypier.pgm;

import java.io.IOException;
import java.time.Instant;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketOutcome;

/**
 * Prints the verdicts on the tickets that the platform's log still contains.
 *
 * <p>The exit code is 0, or 1 if the log cannot be read.
 */
@Parameters(commandDescription = "Print the verdicts on the tickets that the log still contains")
final class TicketHistoryCommand implements Command {

    @Parameter(
            names = "--platform",
            required = true,
            converter = HostPortConverter.class,
            description = "IP:port of the platform")
    private HostPort platform;

    @Parameter(names = "--last", description = "the largest number of verdicts to print")
    private int last = 100;

    @Override
    public int call() {
        try (PlatformSession session = new PlatformSession(platform)) {
            List<String> lines = session.replayToEnd().stream()
                    .map(TicketHistoryCommand::line)
                    .filter(l -> !l.isEmpty())
                    .toList();
            lines.subList(Math.max(0, lines.size() - last), lines.size()).forEach(System.out::println);
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println(platform + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static String line(TicketOutcome outcome) {
        if (outcome instanceof TicketOutcome.Accepted a) {
            return line(a.record(), a.ticket(), "accepted", a.ticket().reason());
        }
        if (outcome instanceof TicketOutcome.Refused r) {
            String why = r.verdict().cause() + ": " + r.verdict().detail();
            return line(r.record(), r.verdict().ticket().orElse(null), "refused", why);
        }
        if (outcome instanceof TicketOutcome.Adopted a) {
            return "ticket=" + a.after().number() + " id=" + a.after().uniqueId() + " verdict=checkpoint";
        }
        return outcome instanceof TicketOutcome.Fault b ? "verdict=fault detail=\"" + b.detail() + '"' : "";
    }

    private static String line(LogRecord record, Ticket ticket, String verdict, String detail) {
        String ticketFields = ticket == null
                ? "ticket=? id=? author=?"
                : "ticket=" + ticket.number() + " id=" + ticket.uniqueId() + " author=" + quote(ticket.author());
        return "offset=" + record.offset() + " time=" + Instant.ofEpochMilli(record.appendedAtMs()) + " " + ticketFields
                + " verdict=" + verdict + " detail=" + quote(detail);
    }

    private static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
}
