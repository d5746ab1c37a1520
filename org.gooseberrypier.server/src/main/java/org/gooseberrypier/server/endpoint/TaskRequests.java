package org.gooseberrypier.server.endpoint;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.http.HttpRequestSpec;
import org.gooseberrypier.lib.WorkId;

/** Creates the HTTP requests to endpoints. */
final class TaskRequests {

    static final String TASK_ID = "Task-Id";
    static final String JOB_ID = "Job-Id";
    static final String DEADLINE_MS = "Deadline-Ms";

    private static final String TASKS = "/v1/tasks/";
    private static final String HEALTH = "/v1/health";

    private TaskRequests() {}

    static HttpRequestSpec start(Effect.StartTask task, long remainingMs) {
        Map<String, String> headers = Map.of(
                TASK_ID, task.spec().id(),
                JOB_ID, task.task().job().value(),
                DEADLINE_MS, Long.toString(remainingMs));
        return new HttpRequestSpec(
                "POST", path(task.work()), headers, task.spec().body().bytes(), remainingMs);
    }

    static HttpRequestSpec cancel(Effect.StartTask task, long timeoutMs) {
        Map<String, String> headers =
                Map.of(TASK_ID, task.spec().id(), JOB_ID, task.task().job().value());
        return new HttpRequestSpec("DELETE", path(task.work()), headers, new byte[0], timeoutMs);
    }

    static HttpRequestSpec probe(long timeoutMs) {
        return HttpRequestSpec.get(HEALTH, timeoutMs);
    }

    private static String path(WorkId work) {
        return TASKS + URLEncoder.encode(work.name(), StandardCharsets.UTF_8).replace("+", "%20");
    }
}
