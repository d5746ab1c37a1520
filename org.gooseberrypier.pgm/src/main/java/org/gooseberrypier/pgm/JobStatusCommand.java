package org.gooseberrypier.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.load.client.JobClient;

/** Prints the state of a job that has an idempotency key. */
@Parameters(commandDescription = "Print the state of a job")
final class JobStatusCommand implements Command {

    private static final int FIRST_ERROR_STATUS = 300;

    @ParametersDelegate
    private final JobOptions options = new JobOptions();

    @Parameter(names = "--team", required = true, description = "the team that submitted the job")
    private String team;

    @Parameter(description = "the idempotency key", required = true)
    private String key;

    @Override
    public int call() {
        return options.call(this::requestStatus);
    }

    private int requestStatus(JobClient client) {
        HttpReply reply = client.status(team, key).join();
        System.out.println(reply.text());
        return reply.status() < FIRST_ERROR_STATUS ? ExitCode.OK : ExitCode.FAILED;
    }
}
