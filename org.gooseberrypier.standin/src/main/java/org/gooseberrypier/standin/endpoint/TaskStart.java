package org.gooseberrypier.standin.endpoint;

/**
 * One start of a task, as the endpoint that ran it saw it.
 *
 * @param endpoint the name of the endpoint
 * @param jobId the {@code Job-Id} that the dispatcher sent
 * @param taskId the {@code Task-Id} that the dispatcher sent
 * @param body what the caller had put into the task
 * @param startedAtMs when, in milliseconds since the epoch
 * @param durationMs how long the task takes on this endpoint, in milliseconds
 */
public record TaskStart(
        String endpoint, String jobId, String taskId, TaskBody body, long startedAtMs, long durationMs) {}
