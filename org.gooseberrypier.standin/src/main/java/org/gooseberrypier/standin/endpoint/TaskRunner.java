package org.gooseberrypier.standin.endpoint;

/** Determines the duration and the result of the tasks of a stand-in endpoint. */
@FunctionalInterface
public interface TaskRunner {

    /**
     * Starts a task. Called once for each start, also for repeated ones.
     *
     * @param jobId the {@code Job-Id} that the dispatcher sent
     * @param taskId the {@code Task-Id} that the dispatcher sent
     * @param body the body of the task
     * @return the duration and the result of this run
     */
    Run start(String jobId, String taskId, byte[] body);

    /**
     * One run of a task.
     *
     * @param durationMs the duration in milliseconds
     * @param result the body of the reply
     */
    record Run(long durationMs, byte[] result) {}
}
