package org.gooseberrypier.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.load.client.JobClient;

/** Cancels a keyed job. */
@Parameters(commandDescription = "Cancel a job")
final class JobCancelCommand implements Command {

    private static final int FIRST_ERROR = 300;

    @ParametersDelegate
    private final JobOptions options = new JobOptions();

    @Parameter(names = "--team", required = true, description = "the team that submitted")
    private String team;

    @Parameter(description = "the idempotency key", required = true)
    private String key;

    @Override
    public int call() {
        return options.call(this::ask);
    }

    private int ask(JobClient client) {
        HttpReply reply = client.cancel(team, key).join();
        System.out.println(reply.text());
        return reply.status() < FIRST_ERROR ? ExitCode.OK : ExitCode.FAILED;
    }
}
