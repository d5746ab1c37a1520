package org.gooseberrypier.load.client;

import java.util.List;

/**
 * The outcome of a job as its caller sees it.
 *
 * @param kind the outcome
 * @param results the results in the order of the answer; empty unless complete
 * @param status the HTTP status, 0 if there was no answer
 * @param detail one line of text for people
 * @param attempts the number of submissions
 */
public record JobOutcome(Kind kind, List<Result> results, int status, String detail, int attempts) {

    /** Copies the list. */
    public JobOutcome {
        results = List.copyOf(results);
    }

    /** The outcomes of a job. */
    public enum Kind {
        /** All tasks ran and succeeded. */
        COMPLETE,
        /** At least one task ran and failed. */
        FAILED,
        /** No task ran, and none will. */
        NOT_RUN,
        /** Some task may have run. */
        UNKNOWN
    }

    /**
     * The result of one task.
     *
     * @param id the identifier that the caller gave to the task
     * @param body the result of the task
     */
    public record Result(String id, String body) {}
}
