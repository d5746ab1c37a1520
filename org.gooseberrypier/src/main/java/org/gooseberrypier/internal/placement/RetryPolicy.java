package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.TaskReply;

/** Decides whether and after which delay a task is retried. */
final class RetryPolicy {

    /** The delay that stands for no retry. */
    static final long NO_RETRY = -1;

    private static final long INITIAL_DELAY_MS = 5;
    private static final long MAX_DELAY_MS = 1_000;
    private static final int MAX_BACKOFF_SHIFT = 8;
    private static final int MAX_FAULT_RETRIES = 2;

    private final Blackboard board;
    private final RetryBudget budget = new RetryBudget();

    RetryPolicy(Blackboard board) {
        this.board = board;
    }

    void taskStarted() {
        budget.taskStarted();
    }

    /** Returns the delay in milliseconds before the task of an ended attempt is retried, or {@link #NO_RETRY}. */
    long delayMs(Attempt attempt, TaskReply reply, Context context) {
        JobTasks job = attempt.job();
        if (job.isWithdrawn() || context.nowMs() >= job.job().deadlineAtMs()) {
            return NO_RETRY;
        }
        int retries = job.retries(attempt.taskIndex());
        if (reply instanceof TaskReply.NotStarted) {
            return jitter(budget.tryAcquire() ? backoffMs(retries) : deferRetry(), context);
        }
        boolean retry = EndpointHealthMonitor.isEndpointFault(reply)
                && job.job().submission().repeatable()
                && retries < MAX_FAULT_RETRIES
                && budget.tryAcquire();
        return retry ? jitter(backoffMs(retries), context) : NO_RETRY;
    }

    private long deferRetry() {
        board.counters().increment(Counter.RETRIES_PUT_OFF);
        return MAX_DELAY_MS;
    }

    private static long backoffMs(int retries) {
        return Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS << Math.min(MAX_BACKOFF_SHIFT, retries));
    }

    private static long jitter(long delayMs, Context context) {
        return Math.max(1, (long) (delayMs * (0.5 + context.random().nextDouble())));
    }
}
