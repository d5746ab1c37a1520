package org.gooseberrypier.standin.endpoint;

/**
 * One start of a task, as recorded by the stand-in endpoint.
 *
 * @param endpoint the name of the endpoint
 * @param jobId the {@code Job-Id} that the dispatcher sent
 * @param taskId the {@code Task-Id} that the dispatcher sent
 * @param body the body of the task; a substitute if the body sent was not in the form of {@link TaskBody}
 * @param startedAtMs the time of the start, in milliseconds since the epoch
 * @param durationMs the duration of the task on this endpoint, in milliseconds
 */
public record TaskStart(
        String endpoint, String jobId, String taskId, TaskBody body, long startedAtMs, long durationMs) {}
