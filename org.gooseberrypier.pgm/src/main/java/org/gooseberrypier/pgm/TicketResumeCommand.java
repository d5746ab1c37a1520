package org.gooseberrypier.pgm;

import java.io.IOException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.ticket.ResumeRecord;

/**
 * Confirms the ticket in force after the ticket stream has lost records or was rewound.
 *
 * <p>Resume records are appended until one has an offset above {@code --above}, because VMs do not read offsets
 * below those that they have already read. The exit code is 0 if that record was appended, else 1.
 */
@Parameters(commandDescription = "Confirm the ticket in force after the stream lost records or was rewound")
final class TicketResumeCommand implements Command {

    private static final int MAX_APPENDS = 10_000;

    @Parameter(
            names = "--platform",
            required = true,
            converter = HostPortConverter.class,
            description = "IP:port of the platform")
    private HostPort platform;

    @Parameter(names = "--number", required = true, description = "the number of the ticket in force on all VMs")
    private long number;

    @Parameter(names = "--id", required = true, description = "the unique id of this ticket")
    private String uniqueId;

    @Parameter(names = "--above", description = "the highest offset that any VM has read")
    private long above = -1;

    @Override
    public int call() {
        try (PlatformSession session = new PlatformSession(platform)) {
            for (int i = 0; i < MAX_APPENDS; i++) {
                AppendResult result = session.append(StreamId.TICKETS, new ResumeRecord(number, uniqueId).format());
                if (result instanceof AppendResult.Uncertain u) {
                    System.err.println(
                            "append not confirmed: " + u.detail() + "; it is safe to run this command again");
                    return ExitCode.FAILED;
                }
                if (((AppendResult.Appended) result).offset() > above) {
                    System.out.println("ticket " + number + " \"" + uniqueId + "\" confirmed at offset "
                            + ((AppendResult.Appended) result).offset());
                    return ExitCode.OK;
                }
            }
            System.err.println(
                    "no offset above " + above + " after " + MAX_APPENDS + " records; run this command again");
            return ExitCode.FAILED;
        } catch (IOException e) {
            System.err.println(platform + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }
}
