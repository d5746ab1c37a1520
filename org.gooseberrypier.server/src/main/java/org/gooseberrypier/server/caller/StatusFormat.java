package org.gooseberrypier.server.caller;

import java.util.Locale;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.effect.JobStatus;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.lib.Answer;

/** Formats the status of a job as JSON. */
final class StatusFormat {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private StatusFormat() {}

    static HttpReply format(JobStatus status) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("state", status.state().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        if (status.state() == JobStatus.State.NOT_FOUND) {
            return HttpReply.text(NOT_FOUND, "application/json", json.toString());
        }
        json.put("tasks", status.tasks()).put("ended", status.ended());
        status.answer().ifPresent(a -> json.set("answer", answer(a)));
        return HttpReply.text(OK, "application/json", json.toString());
    }

    private static ObjectNode answer(Answer answer) {
        return answer instanceof Answer.Complete c ? JobFormat.json(c) : Problems.json(answer);
    }
}
