package org.gooseberrypier.random;

import org.gooseberrypier.lib.Answer;

/** Counts the answers of a run by outcome, so that tests detect a run without work. */
final class RunCounts {

    private int complete;
    private int completeKeyed;
    private int failed;
    private int notRun;
    private int unknown;

    void count(Answer answer, boolean keyed) {
        if (answer instanceof Answer.Complete) {
            complete++;
            completeKeyed += keyed ? 1 : 0;
        } else if (answer instanceof Answer.Failed) {
            failed++;
        } else if (answer instanceof Answer.NotRun) {
            notRun++;
        } else {
            unknown++;
        }
    }

    int complete() {
        return complete;
    }

    int completeKeyed() {
        return completeKeyed;
    }

    int failed() {
        return failed;
    }

    int unknown() {
        return unknown;
    }

    @Override
    public String toString() {
        return "complete=" + complete + " complete_keyed=" + completeKeyed + " failed=" + failed + " not_run=" + notRun
                + " unknown=" + unknown;
    }
}
