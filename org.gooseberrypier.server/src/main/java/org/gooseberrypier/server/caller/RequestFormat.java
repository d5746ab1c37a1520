package org.gooseberrypier.server.caller;

import java.util.Map;

import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.lib.Answer;

/** Returns the body of the only result of a request unchanged. */
final class RequestFormat implements AnswerFormat {

    private static final int OK = 200;

    @Override
    public HttpReply format(Answer.Complete answer) {
        return new HttpReply(
                OK,
                Map.of("content-type", "application/octet-stream", "outcome", "complete"),
                answer.results().get(0).body().bytes());
    }
}
