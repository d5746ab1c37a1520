package org.gooseberrypier.standin.endpoint;

import java.nio.charset.StandardCharsets;

/**
 * Runs for the duration given in the {@link TaskBody}, divided by the speed of the endpoint, and returns
 * {@link TaskBody#result()}. Other bodies are run by an {@link EchoRunner}, with the same division.
 */
public final class TimedRunner implements TaskRunner {

    private final TaskRunner fallback = new EchoRunner();
    private final double speed;

    /**
     * Creates the runner.
     *
     * @param speed the relative speed of the endpoint, above 0; at speed 2 a task takes half its duration
     * @throws IllegalArgumentException if the speed is not above 0
     */
    public TimedRunner(double speed) {
        if (!(speed > 0)) {
            throw new IllegalArgumentException("speed: " + speed + " is not above 0");
        }
        this.speed = speed;
    }

    @Override
    public Run start(String jobId, String taskId, byte[] body) {
        return TaskBody.parse(body).map(this::run).orElseGet(() -> scale(fallback.start(jobId, taskId, body)));
    }

    private Run run(TaskBody body) {
        return scale(new Run(body.serviceMs(), body.result().getBytes(StandardCharsets.UTF_8)));
    }

    private Run scale(Run run) {
        return new Run(Math.max(1, Math.round(run.durationMs() / speed)), run.result());
    }
}
