package org.gooseberrypier.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.http.HttpReply;

/** Sends replies with a JSON body. */
final class Replies {

    static final ObjectMapper MAPPER = new ObjectMapper();
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int TOO_LARGE = 413;
    static final int TOO_MANY_REQUESTS = 429;

    private Replies() {}

    static void ok(HttpCall call, ObjectNode json) {
        call.reply(HttpReply.text(OK, "application/json", json.toString()));
    }

    static void error(HttpCall call, int status, String message) {
        call.reply(HttpReply.text(
                status,
                "application/json",
                MAPPER.createObjectNode().put("error", message).toString()));
    }
}
