package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.gooseberrypier.load.client.JobClient;
import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.client.JobTask;
import org.gooseberrypier.load.client.SubmitCommand;

/** Submits a job with an idempotency key and prints its outcome. */
@Parameters(commandDescription = "Submit a job; if no answer arrives in time, submit it to another VM")
final class JobSubmitCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long DEFAULT_DEADLINE_MS = 30_000;

    @ParametersDelegate
    private final JobOptions options = new JobOptions();

    @Parameter(names = "--key", description = "the idempotency key; by default a new UUID")
    private String key;

    @Parameter(description = "the job file", required = true, converter = PathConverter.class)
    private Path file;

    @Override
    public int call() {
        JsonNode job;
        try {
            job = MAPPER.readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            System.err.println(file + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
        return options.call(client -> submit(client, job));
    }

    private int submit(JobClient client, JsonNode job) {
        String idempotencyKey = key == null ? client.newKey() : key;
        System.err.println("key=" + idempotencyKey);
        SubmitCommand command = client.submit()
                .team(job.path("team").asText())
                .work(job.path("work").asText())
                .repeatable(job.path("repeatable").asBoolean())
                .deadlineMs(job.path("deadlineMs").asLong(DEFAULT_DEADLINE_MS))
                .key(idempotencyKey);
        for (JsonNode t : job.path("tasks")) {
            command.task(new JobTask(
                    t.path("id").asText(),
                    t.path("body").asText(),
                    t.path("declaredMs").asLong()));
        }
        JobOutcome outcome = command.call().join();
        System.out.println("outcome=" + outcome.kind() + " status=" + outcome.status() + " attempts="
                + outcome.attempts() + " detail=\"" + outcome.detail() + "\"");
        outcome.results().forEach(r -> System.out.println("result id=" + r.id() + " body=\"" + r.body() + "\""));
        return outcome.kind() == JobOutcome.Kind.COMPLETE ? ExitCode.OK : ExitCode.FAILED;
    }
}
