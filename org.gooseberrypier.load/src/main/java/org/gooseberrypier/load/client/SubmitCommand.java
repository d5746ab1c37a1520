package org.gooseberrypier.load.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpRequestSpec;
import org.gooseberrypier.http.NotSentException;

/** Submits one job; created by {@link JobClient#submit()} and usable once. */
public final class SubmitCommand {

    private static final long DEFAULT_DEADLINE_MS = 30_000;
    private static final int MAX_ATTEMPTS = 8;

    private final JobClient client;
    private final List<JobTask> tasks = new ArrayList<>();
    private final CompletableFuture<JobOutcome> outcome = new CompletableFuture<>();
    private String team = "";
    private String work = "";
    private String key;
    private boolean repeatable;
    private long deadlineMs = DEFAULT_DEADLINE_MS;
    private byte[] body;
    private long deadlineAtMs;

    SubmitCommand(JobClient client) {
        this.client = client;
    }

    /**
     * Sets the team that submits.
     *
     * @param value the team
     * @return this command
     */
    public SubmitCommand team(String value) {
        team = value;
        return this;
    }

    /**
     * Sets the kind of work.
     *
     * @param value the kind of work
     * @return this command
     */
    public SubmitCommand work(String value) {
        work = value;
        return this;
    }

    /**
     * Sets the idempotency key.
     *
     * @param value the key, null for a job that is submitted again only if its request was not sent
     * @return this command
     */
    public SubmitCommand key(String value) {
        key = value;
        return this;
    }

    /**
     * Sets whether the tasks may start more than once.
     *
     * @param value whether they may
     * @return this command
     */
    public SubmitCommand repeatable(boolean value) {
        repeatable = value;
        return this;
    }

    /**
     * Sets the deadline, after which the answer is of no use.
     *
     * @param value milliseconds from the first submission
     * @return this command
     */
    public SubmitCommand deadlineMs(long value) {
        deadlineMs = value;
        return this;
    }

    /**
     * Adds a task.
     *
     * @param value the task
     * @return this command
     */
    public SubmitCommand task(JobTask value) {
        tasks.add(value);
        return this;
    }

    /**
     * Submits the job.
     *
     * @return the outcome; the future never completes exceptionally
     */
    public CompletableFuture<JobOutcome> call() {
        try {
            body = JobJson.format(this);
        } catch (IOException e) {
            throw new IllegalStateException("cannot write the job as JSON", e);
        }
        deadlineAtMs = System.currentTimeMillis() + deadlineMs;
        attempt(1);
        return outcome;
    }

    String team() {
        return team;
    }

    String work() {
        return work;
    }

    long deadlineMs() {
        return deadlineMs;
    }

    boolean isRepeatable() {
        return repeatable;
    }

    List<JobTask> tasks() {
        return tasks;
    }

    private void attempt(int number) {
        long remainingMs = Math.max(1, deadlineAtMs - System.currentTimeMillis());
        long timeoutMs = key == null ? remainingMs : Math.min(remainingMs, client.attemptTimeoutMs());
        HostPort vm = client.nextVm();
        client.http()
                .send(vm, new HttpRequestSpec("POST", "/v1/jobs", headers(), body, timeoutMs))
                .whenComplete((reply, error) -> handleReply(number, reply, error));
    }

    private void handleReply(int number, HttpReply reply, Throwable error) {
        if (error == null) {
            outcome.complete(JobJson.parse(reply, number));
        } else if (mayRetry(number, error)) {
            attempt(number + 1);
        } else if (key == null && error instanceof NotSentException) {
            outcome.complete(new JobOutcome(JobOutcome.Kind.NOT_RUN, List.of(), 0, error.getMessage(), number));
        } else {
            outcome.complete(JobJson.unknown(error.getMessage(), number));
        }
    }

    private boolean mayRetry(int number, Throwable error) {
        boolean beforeDeadline = System.currentTimeMillis() < deadlineAtMs;
        return beforeDeadline && number < MAX_ATTEMPTS && (key != null || error instanceof NotSentException);
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/json");
        if (key != null) {
            headers.put("Idempotency-Key", key);
            if (client.homeZone() != null) {
                headers.put("Home-Zone", client.homeZone());
            }
        }
        return headers;
    }
}
