package org.gooseberrypier.ticket;

/**
 * The limits that apply to every submission.
 *
 * @param maxTasksPerJob the maximum number of tasks of a job
 * @param maxBodyBytes the maximum size of the bodies of a submission, in bytes
 * @param maxDeadlineMs the maximum deadline of a submission, as a duration in milliseconds
 * @param keyRetentionMs how long a key is retained, in milliseconds
 */
public record Limits(int maxTasksPerJob, long maxBodyBytes, long maxDeadlineMs, long keyRetentionMs) {

    /** The limits in force until a ticket sets others. */
    public static final Limits DEFAULT = new Limits(490, 16L << 20, 60_000, 600_000);
}
