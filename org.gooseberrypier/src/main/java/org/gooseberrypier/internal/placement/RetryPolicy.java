package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.TaskReply;

/** Decides whether and when a task is sent again. */
final class RetryPolicy {

    /** The result for a task that is not sent again. */
    static final long NO_RETRY = -1;

    private static final long FIRST_DELAY_MS = 5;
    private static final long MAX_DELAY_MS = 1_000;
    private static final int MAX_SHIFT = 8;
    private static final int MAX_REPEATS = 2;

    private final Blackboard board;
    private final RetryBudget budget = new RetryBudget();

    RetryPolicy(Blackboard board) {
        this.board = board;
    }

    void taskStarted() {
        budget.taskStarted();
    }

    /** Returns after how many milliseconds the task of an ended attempt is sent again, {@link #NO_RETRY} if it is not. */
    long delayMs(Attempt attempt, TaskReply reply, Context context) {
        JobTasks job = attempt.job();
        if (job.isWithdrawn() || context.nowMs() >= job.job().deadlineAtMs()) {
            return NO_RETRY;
        }
        int tries = job.retries(attempt.taskIndex());
        if (reply instanceof TaskReply.NotStarted) {
            return jitter(budget.tryAcquire() ? backOffMs(tries) : putOff(), context);
        }
        boolean repeats = EndpointHealthMonitor.isEndpointFault(reply)
                && job.job().submission().repeatable()
                && tries < MAX_REPEATS
                && budget.tryAcquire();
        return repeats ? jitter(backOffMs(tries), context) : NO_RETRY;
    }

    private long putOff() {
        board.counters().increment(Counter.RETRIES_PUT_OFF);
        return MAX_DELAY_MS;
    }

    private static long backOffMs(int tries) {
        return Math.min(MAX_DELAY_MS, FIRST_DELAY_MS << Math.min(MAX_SHIFT, tries));
    }

    private static long jitter(long delayMs, Context context) {
        return Math.max(1, (long) (delayMs * (0.5 + context.random().nextDouble())));
    }
}
