package org.gooseberrypier.load.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.http.HttpReply;

/** Converts submissions to JSON and answers from JSON. */
final class JobJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JobJson() {}

    static byte[] format(SubmitCommand job) throws IOException {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("team", job.team());
        json.put("work", job.work());
        json.put("deadlineMs", job.deadlineMs());
        if (job.isRepeatable()) {
            json.put("repeatable", true);
        }
        ArrayNode tasks = json.putArray("tasks");
        for (JobTask t : job.tasks()) {
            tasks.addObject().put("id", t.id()).put("body", t.body()).put("declaredMs", t.declaredMs());
        }
        return MAPPER.writeValueAsBytes(json);
    }

    static JobOutcome parse(HttpReply reply, int attempts) {
        JsonNode json;
        try {
            json = MAPPER.readTree(reply.body());
        } catch (IOException e) {
            return unknown("status " + reply.status() + " with a body that is not JSON: " + e.getMessage(), attempts);
        }
        JobOutcome.Kind kind = kind(json.path("outcome").asText());
        List<JobOutcome.Result> results = new ArrayList<>();
        for (JsonNode r : json.path("results")) {
            results.add(
                    new JobOutcome.Result(r.path("id").asText(), r.path("body").asText()));
        }
        String detail = json.path("type").asText() + " " + json.path("detail").asText();
        return new JobOutcome(kind, results, reply.status(), detail.strip(), attempts);
    }

    static JobOutcome unknown(String detail, int attempts) {
        return new JobOutcome(JobOutcome.Kind.UNKNOWN, List.of(), 0, detail, attempts);
    }

    private static JobOutcome.Kind kind(String outcome) {
        for (JobOutcome.Kind k : JobOutcome.Kind.values()) {
            if (k.name().replace('_', '-').toLowerCase(Locale.ROOT).equals(outcome)) {
                return k;
            }
        }
        return JobOutcome.Kind.UNKNOWN;
    }
}
