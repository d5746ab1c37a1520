package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.TicketOutcome;
import org.gooseberrypier.ticket.TicketVerdict;

/**
 * Appends a ticket to the platform's log and prints its verdict.
 *
 * <p>If an append is not answered, the stream is searched for the unique id of the ticket, and the ticket is appended
 * again only if it is not found; a second record of the same ticket has no effect. The exit code is 0 if the ticket
 * came into force, 1 if it was refused or its verdict is unknown, 2 if the file is not a valid ticket, in which case
 * nothing was appended.
 */
@Parameters(commandDescription = "Publish a ticket and print whether it came into force")
final class TicketPublishCommand implements Command {

    private static final int MAX_ATTEMPTS = 5;
    private static final long RETRY_DELAY_MS = 500;

    @Parameter(
            names = "--platform",
            required = true,
            converter = HostPortConverter.class,
            description = "IP:port of the platform")
    private HostPort platform;

    @Parameter(description = "the ticket file", required = true, converter = PathConverter.class)
    private Path file;

    @Override
    public int call() {
        Payload json;
        Ticket ticket;
        try {
            json = TicketFiles.read(file);
            ticket = TicketCodec.parse(json);
        } catch (IOException | TicketFormatException e) {
            System.err.println(file + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
        try (PlatformSession session = new PlatformSession(platform)) {
            return publish(session, ticket, json);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private int publish(PlatformSession session, Ticket ticket, Payload json) throws InterruptedException {
        boolean appended = false;
        String problem = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                Optional<TicketOutcome> found = findOutcome(session.replayToEnd(), ticket);
                if (found.isPresent()) {
                    return printVerdict(found.get(), ticket);
                }
                Optional<String> invalid = findInvalid(session, json);
                if (invalid.isPresent()) {
                    System.err.println(file + ": not published: " + invalid.get());
                    return ExitCode.USAGE;
                }
                appended = true;
                session.append(StreamId.TICKETS, json);
                found = findOutcome(session.replayToEnd(), ticket);
                if (found.isPresent()) {
                    return printVerdict(found.get(), ticket);
                }
                problem = session.replay().isSynchronised()
                        ? "the stream does not contain the record"
                        : "records of the ticket stream were lost and no checkpoint in it covers them";
            } catch (IOException e) {
                problem = e.getMessage();
            }
            Thread.sleep(RETRY_DELAY_MS);
        }
        System.err.println("verdict unknown: " + problem + (appended ? "; the stream may contain the ticket" : ""));
        System.err.println(
                "It is safe to publish the same file again: a ticket with the same unique id takes effect once.");
        return ExitCode.FAILED;
    }

    private static Optional<String> findInvalid(PlatformSession session, Payload json) {
        long offset = session.replay().throughOffset() + 1;
        TicketVerdict verdict =
                TicketVerdict.of(session.replay().inForce(), new LogRecord(offset, System.currentTimeMillis(), json));
        return verdict instanceof TicketVerdict.Refused r && r.cause() == TicketVerdict.Cause.INVALID
                ? Optional.of(r.detail())
                : Optional.empty();
    }

    private static Optional<TicketOutcome> findOutcome(List<TicketOutcome> outcomes, Ticket ticket) {
        return outcomes.stream()
                .filter(o -> ticketOf(o).filter(t -> isSame(t, ticket)).isPresent())
                .findFirst();
    }

    private static Optional<Ticket> ticketOf(TicketOutcome outcome) {
        if (outcome instanceof TicketOutcome.Accepted a) {
            return Optional.of(a.ticket());
        }
        return outcome instanceof TicketOutcome.Refused r ? r.verdict().ticket() : Optional.empty();
    }

    private static boolean isSame(Ticket a, Ticket b) {
        return a.uniqueId().equals(b.uniqueId()) && a.number() == b.number();
    }

    private static int printVerdict(TicketOutcome outcome, Ticket ticket) {
        if (outcome instanceof TicketOutcome.Accepted a) {
            System.out.println("ticket " + ticket.number() + " \"" + ticket.uniqueId() + "\" accepted at offset "
                    + a.record().offset());
            return ExitCode.OK;
        }
        TicketOutcome.Refused refused = (TicketOutcome.Refused) outcome;
        TicketVerdict.Refused verdict = refused.verdict();
        System.err.println("ticket " + ticket.number() + " \"" + ticket.uniqueId() + "\" refused at offset "
                + refused.record().offset() + ": " + verdict.cause() + ": " + verdict.detail());
        return ExitCode.FAILED;
    }
}
