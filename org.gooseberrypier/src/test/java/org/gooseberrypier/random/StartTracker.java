package org.gooseberrypier.random;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tracks the task starts that the endpoints see, independently of the state of any core, and checks them. */
final class StartTracker {

    private final Map<String, Integer> startsByTask = new HashMap<>();
    private final Set<String> startedSubmissions = new HashSet<>();
    private final Set<String> notRunSubmissions = new HashSet<>();
    private final Set<String> repeatableSubmissions = new HashSet<>();
    private int starts;

    void allowRepeats(String submission) {
        repeatableSubmissions.add(submission);
    }

    void start(String submission, String task) {
        starts++;
        startedSubmissions.add(submission);
        int count = startsByTask.merge(submission + "/" + task, 1, Integer::sum);
        if (count > 1 && !repeatableSubmissions.contains(submission)) {
            throw new GuaranteeViolatedException("task started twice: " + submission + "/" + task);
        }
        if (notRunSubmissions.contains(submission)) {
            throw new GuaranteeViolatedException("task started after the answer not-run: " + submission + "/" + task);
        }
    }

    void answerNotRun(String submission) {
        notRunSubmissions.add(submission);
        if (startedSubmissions.contains(submission)) {
            throw new GuaranteeViolatedException("answer not-run after a task started: " + submission);
        }
    }

    int startsOf(String submission, String task) {
        return startsByTask.getOrDefault(submission + "/" + task, 0);
    }

    int starts() {
        return starts;
    }
}
