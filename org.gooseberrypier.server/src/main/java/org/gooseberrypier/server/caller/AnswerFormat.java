package org.gooseberrypier.server.caller;

import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.lib.Answer;

/** Formats a complete answer as an HTTP reply; all other answers are formatted by {@link Problems}. */
@FunctionalInterface
interface AnswerFormat {

    HttpReply format(Answer.Complete answer);
}
