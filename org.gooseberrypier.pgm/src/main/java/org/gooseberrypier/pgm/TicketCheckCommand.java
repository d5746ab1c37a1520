package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.TicketProblem;
import org.gooseberrypier.ticket.TicketValidator;
import org.gooseberrypier.ticket.TicketVerdict;

/**
 * Checks a ticket file.
 *
 * <p>With {@code --platform}, the ticket gets the verdict that the VMs would give now; without it, only the ticket
 * itself is validated. The exit code is 0 if the ticket is valid, 1 if the platform's log cannot be read, 2 if the
 * ticket would be refused.
 */
@Parameters(commandDescription = "Check a ticket file, against the ticket in force if --platform is given")
final class TicketCheckCommand implements Command {

    @Parameter(names = "--platform", converter = HostPortConverter.class, description = "IP:port of the platform")
    private HostPort platform;

    @Parameter(description = "the ticket file", required = true, converter = PathConverter.class)
    private Path file;

    @Override
    public int call() {
        Payload json;
        try {
            json = TicketFiles.read(file);
        } catch (IOException e) {
            System.err.println(file + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
        return platform == null ? checkTicketOnly(json) : checkAgainstLog(json);
    }

    private int checkTicketOnly(Payload json) {
        try {
            Ticket ticket = TicketCodec.parse(json);
            List<TicketProblem> problems = TicketValidator.check(ticket);
            problems.forEach(p -> System.err.println(file + ": " + p));
            if (!problems.isEmpty()) {
                return ExitCode.USAGE;
            }
            System.out.println("ticket " + ticket.number() + " is well-formed; its number and the sections that"
                    + " it omits were not checked; use --platform to check them");
            return ExitCode.OK;
        } catch (TicketFormatException e) {
            System.err.println(file + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private int checkAgainstLog(Payload json) {
        try (PlatformSession session = new PlatformSession(platform)) {
            session.replayToEnd();
            if (!session.replay().isSynchronised()) {
                System.err.println("records of the ticket stream were lost and no checkpoint in it covers them");
                return ExitCode.FAILED;
            }
            Configuration inForce = session.replay().inForce();
            LogRecord candidate = new LogRecord(session.replay().throughOffset() + 1, System.currentTimeMillis(), json);
            TicketVerdict verdict = TicketVerdict.of(inForce, candidate);
            if (verdict instanceof TicketVerdict.Refused r) {
                System.err.println(file + ": " + r.cause() + ": " + r.detail());
                return ExitCode.USAGE;
            }
            System.out.println("ticket " + (inForce.number() + 1) + " would be accepted after ticket "
                    + inForce.number() + ", which is in force");
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println(platform + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }
}
