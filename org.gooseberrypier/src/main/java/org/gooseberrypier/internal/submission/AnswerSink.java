package org.gooseberrypier.internal.submission;

import org.gooseberrypier.internal.board.Waiter;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.Answer;

/** Delivers the answers of jobs to their waiters. */
interface AnswerSink {

    /** Delivers an answer to one waiter. */
    void deliver(Waiter waiter, Answer answer, Context context);
}
