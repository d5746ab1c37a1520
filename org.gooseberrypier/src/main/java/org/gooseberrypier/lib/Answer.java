package org.gooseberrypier.lib;

import java.util.List;

/** The answer to a submission as a whole. */
public sealed interface Answer {

    /**
     * Every task ran and succeeded.
     *
     * @param results the results in the order of the tasks
     */
    record Complete(List<TaskResult> results) implements Answer {

        /** Copies the list. */
        public Complete {
            results = List.copyOf(results);
        }
    }

    /**
     * At least one task ran and failed or was stopped.
     *
     * @param reason the reason
     * @param detail a one-line description
     */
    record Failed(Reason reason, String detail) implements Answer {}

    /**
     * No task ran and, under the key of this submission, none will run.
     *
     * @param reason the reason
     * @param detail a one-line description
     * @param retryAfterMs the time that the caller should wait before it submits again, in milliseconds
     */
    record NotRun(Reason reason, String detail, long retryAfterMs) implements Answer {}

    /**
     * Whether a task ran is unknown.
     *
     * @param reason the reason
     * @param detail a one-line description
     */
    record Unknown(Reason reason, String detail) implements Answer {}
}
