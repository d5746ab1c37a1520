package org.gooseberrypier.server.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.WorkId;

/** Parses the body of {@code POST /v1/jobs}. */
final class JobParser {

    private static final Set<String> JOB_FIELDS = Set.of("team", "work", "deadlineMs", "repeatable", "tasks");
    private static final Set<String> TASK_FIELDS =
            Set.of("id", "body", "bodyBase64", "declaredMs", "cores", "memoryMb", "accelerators");

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private JobParser() {}

    static Submission parse(HttpCall call, long nowMs) throws RequestException {
        JsonFields job = new JsonFields("", read(call.body()), JOB_FIELDS);
        return new Submission(
                new TeamId(job.name("team")),
                new WorkId(job.name("work")),
                job.integer("deadlineMs", 1, RequestRules.MAX_DEADLINE_MS),
                job.flagOr("repeatable", false),
                KeyParser.ofSubmission(call, nowMs),
                tasks(job));
    }

    private static JsonNode read(byte[] body) throws RequestException {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new RequestException("body: not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new RequestException("body: not JSON: " + e.getMessage());
        }
    }

    private static List<TaskSpec> tasks(JsonFields job) throws RequestException {
        JsonNode list = job.node("tasks");
        String allowed = "a list of 1 to " + RequestRules.MAX_TASKS + " tasks";
        if (list == null) {
            throw RequestException.missing("tasks", allowed);
        }
        if (!list.isArray() || list.isEmpty() || list.size() > RequestRules.MAX_TASKS) {
            throw RequestException.field(
                    "tasks", list.isArray() ? "a list of " + list.size() : list.getNodeType(), allowed);
        }
        List<TaskSpec> tasks = new ArrayList<>(list.size());
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            TaskSpec task = task(new JsonFields("tasks[" + i + "]", list.get(i), TASK_FIELDS));
            if (!ids.add(task.id())) {
                throw RequestException.field("tasks[" + i + "].id", '"' + task.id() + '"', "each id once in a job");
            }
            tasks.add(task);
        }
        return tasks;
    }

    private static TaskSpec task(JsonFields task) throws RequestException {
        Resources resources = new Resources(
                task.thousandthsOr("cores", RequestRules.MAX_CORES, 0),
                (int) task.integerOr("memoryMb", RequestRules.MAX_MEMORY_MB, 0),
                (int) task.integerOr("accelerators", RequestRules.MAX_ACCELERATORS, 0));
        return new TaskSpec(
                task.name("id"), body(task), task.integerOr("declaredMs", RequestRules.MAX_DECLARED_MS, 0), resources);
    }

    private static Payload body(JsonFields task) throws RequestException {
        String allowed = "a string in body, or bytes in bodyBase64, not both";
        if (task.has("body") == task.has("bodyBase64")) {
            throw new RequestException(task.pathOf("body") + ": " + (task.has("body") ? "given twice" : "missing")
                    + "; allowed: " + allowed);
        }
        if (task.has("body")) {
            return Payload.of(task.text("body", allowed));
        }
        String encoded = task.text("bodyBase64", allowed);
        try {
            return Payload.wrap(Base64.getDecoder().decode(encoded));
        } catch (IllegalArgumentException e) {
            throw RequestException.field(task.pathOf("bodyBase64"), '"' + encoded + '"', "standard Base64");
        }
    }
}
