package org.gooseberrypier.random;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts the starts of tasks as the endpoints see them, apart from what any core believes. */
final class StartTracker {

    private final Map<String, Integer> startsByTask = new HashMap<>();
    private final Set<String> startedSubmissions = new HashSet<>();
    private final Set<String> notRun = new HashSet<>();
    private final Set<String> repeatable = new HashSet<>();
    private int starts;

    void allowRepeats(String submission) {
        repeatable.add(submission);
    }

    void start(String submission, String task) {
        starts++;
        startedSubmissions.add(submission);
        int count = startsByTask.merge(submission + "/" + task, 1, Integer::sum);
        if (count > 1 && !repeatable.contains(submission)) {
            throw new GuaranteeViolatedException("started twice: " + submission + "/" + task);
        }
        if (notRun.contains(submission)) {
            throw new GuaranteeViolatedException("started after not-run: " + submission + "/" + task);
        }
    }

    void answerNotRun(String submission) {
        notRun.add(submission);
        if (startedSubmissions.contains(submission)) {
            throw new GuaranteeViolatedException("not-run after a start: " + submission);
        }
    }

    int startsOf(String submission, String task) {
        return startsByTask.getOrDefault(submission + "/" + task, 0);
    }

    int starts() {
        return starts;
    }
}
