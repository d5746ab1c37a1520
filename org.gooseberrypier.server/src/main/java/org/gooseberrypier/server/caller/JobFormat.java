package org.gooseberrypier.server.caller;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.TaskResult;

/** Formats the results of a job as JSON, in the order of the tasks; results that are not UTF-8 are Base64 encoded. */
final class JobFormat implements AnswerFormat {

    private static final int OK = 200;

    @Override
    public HttpReply format(Answer.Complete answer) {
        return HttpReply.text(OK, "application/json", json(answer).toString());
    }

    static ObjectNode json(Answer.Complete answer) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("outcome", "complete");
        ArrayNode results = json.putArray("results");
        for (TaskResult r : answer.results()) {
            putBody(results.addObject().put("id", r.id()), r.body());
        }
        return json;
    }

    private static void putBody(ObjectNode result, Payload body) {
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body.bytes()))
                    .toString();
            result.put("body", text);
        } catch (CharacterCodingException e) {
            result.put("bodyBase64", body.bytes());
        }
    }
}
