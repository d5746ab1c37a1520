package org.gooseberrypier.standin.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The body of a task for a stand-in endpoint: its duration, its job and its position in the job.
 *
 * <p>The text form is {@code serviceMs;job;index;once} or {@code serviceMs;job;index;repeatable}.
 *
 * @param serviceMs the duration of the task on an endpoint of speed 1, in milliseconds
 * @param job the caller's own name of the job, unknown to the dispatcher
 * @param index the position of the task in its job, from 0
 * @param repeatable whether the task may be started more than once
 */
public record TaskBody(long serviceMs, String job, int index, boolean repeatable) {

    private static final int FIELDS = 4;
    private static final String REPEATABLE = "repeatable";
    private static final String ONCE = "once";

    /**
     * Parses a body.
     *
     * @param body the bytes received
     * @return the body, empty if the bytes are not in the text form
     */
    public static Optional<TaskBody> parse(byte[] body) {
        String[] fields = new String(body, StandardCharsets.UTF_8).split(";", -1);
        if (fields.length != FIELDS || !fields[0].matches("\\d{1,9}") || !fields[2].matches("\\d{1,9}")) {
            return Optional.empty();
        }
        return Optional.of(new TaskBody(
                Long.parseLong(fields[0]), fields[1], Integer.parseInt(fields[2]), fields[3].equals(REPEATABLE)));
    }

    /**
     * Formats this body.
     *
     * @return the text form
     */
    public String format() {
        return serviceMs + ";" + job + ";" + index + ";" + (repeatable ? REPEATABLE : ONCE);
    }

    /**
     * Returns the expected result of this task.
     *
     * @return the result, which contains the job and the position of the task
     */
    public String result() {
        return "done;" + job + ";" + index + ";" + serviceMs;
    }
}
