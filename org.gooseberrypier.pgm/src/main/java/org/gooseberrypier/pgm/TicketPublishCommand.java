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
 * Appends a ticket to the platform's log and tells its verdict.
 *
 * <p>After an append without an answer the ticket is looked for by its unique id, and appended again only if it is not
 * there; a second record of the same ticket changes nothing. The exit code is 0 if the ticket came into force, 1 if it
 * was refused or its verdict is not known, 2 if the file is no ticket, in which case nothing was appended.
 */
@Parameters(commandDescription = "Publish a ticket and tell whether it came into force")
final class TicketPublishCommand implements Command {

    private static final int MAX_ATTEMPTS = 5;
    private static final long RETRY_MS = 500;

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
        String fault = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                Optional<TicketOutcome> found = find(session.replayToEnd(), ticket);
                if (found.isPresent()) {
                    return tell(found.get(), ticket);
                }
                Optional<String> invalid = invalid(session, json);
                if (invalid.isPresent()) {
                    System.err.println(file + ": not published: " + invalid.get());
                    return ExitCode.USAGE;
                }
                appended = true;
                session.append(StreamId.TICKETS, json);
                found = find(session.replayToEnd(), ticket);
                if (found.isPresent()) {
                    return tell(found.get(), ticket);
                }
                fault = session.replay().isSynchronised()
                        ? "the record is not in the stream"
                        : "the stream lost records and holds no checkpoint that covers them";
            } catch (IOException e) {
                fault = e.getMessage();
            }
            Thread.sleep(RETRY_MS);
        }
        System.err.println("verdict unknown: " + fault + (appended ? "; the ticket may be in the stream" : ""));
        System.err.println("Publishing the same file again is safe: its unique id is counted once.");
        return ExitCode.FAILED;
    }

    private static Optional<String> invalid(PlatformSession session, Payload json) {
        long offset = session.replay().throughOffset() + 1;
        TicketVerdict verdict =
                TicketVerdict.of(session.replay().inForce(), new LogRecord(offset, System.currentTimeMillis(), json));
        return verdict instanceof TicketVerdict.Refused r && r.cause() == TicketVerdict.Cause.INVALID
                ? Optional.of(r.detail())
                : Optional.empty();
    }

    private static Optional<TicketOutcome> find(List<TicketOutcome> outcomes, Ticket ticket) {
        return outcomes.stream()
                .filter(o -> own(o).filter(t -> isSame(t, ticket)).isPresent())
                .findFirst();
    }

    private static Optional<Ticket> own(TicketOutcome outcome) {
        if (outcome instanceof TicketOutcome.Accepted a) {
            return Optional.of(a.ticket());
        }
        return outcome instanceof TicketOutcome.Refused r ? r.verdict().ticket() : Optional.empty();
    }

    private static boolean isSame(Ticket a, Ticket b) {
        return a.uniqueId().equals(b.uniqueId()) && a.number() == b.number();
    }

    private static int tell(TicketOutcome outcome, Ticket ticket) {
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
