package org.gooseberrypier.load.check;

import java.util.List;

import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.standin.endpoint.TaskStart;

/**
 * Counts the violations of each guarantee. The check is valid only when no job is in flight any more.
 *
 * @param startedTwice tasks that started more than once although they may start only once
 * @param partialAnswers complete answers in which a result is missing, out of order or wrong
 * @param wrongCaller complete answers with a result of another job
 * @param notRunButRan jobs that were answered "not run" although a task of them started
 */
public record GuaranteeCheck(long startedTwice, long partialAnswers, long wrongCaller, long notRunButRan) {

    /**
     * Checks all jobs of a run.
     *
     * @param records the jobs and their outcomes
     * @param tracker the starts that the endpoints recorded
     * @return the counts
     */
    public static GuaranteeCheck of(List<JobRecord> records, StartTracker tracker) {
        long partialAnswers = 0;
        long wrongCaller = 0;
        long notRunButRan = 0;
        for (JobRecord r : records) {
            for (JobOutcome o : r.outcomes()) {
                boolean complete = o.kind() == JobOutcome.Kind.COMPLETE;
                partialAnswers += complete && !isComplete(r.plan(), o) ? 1 : 0;
                wrongCaller += complete && hasForeignResult(r.plan(), o) ? 1 : 0;
            }
            boolean notRun = r.outcomes().stream().anyMatch(o -> o.kind() == JobOutcome.Kind.NOT_RUN);
            notRunButRan += notRun && !tracker.starts(r.plan().id()).isEmpty() ? 1 : 0;
        }
        return new GuaranteeCheck(startedTwice(tracker), partialAnswers, wrongCaller, notRunButRan);
    }

    /**
     * Returns whether every guarantee held.
     *
     * @return whether all counts are 0
     */
    public boolean holds() {
        return startedTwice == 0 && partialAnswers == 0 && wrongCaller == 0 && notRunButRan == 0;
    }

    /**
     * Adds the counts of another run.
     *
     * @param other the other run
     * @return the sums
     */
    public GuaranteeCheck plus(GuaranteeCheck other) {
        return new GuaranteeCheck(
                startedTwice + other.startedTwice,
                partialAnswers + other.partialAnswers,
                wrongCaller + other.wrongCaller,
                notRunButRan + other.notRunButRan);
    }

    private static long startedTwice(StartTracker tracker) {
        long count = 0;
        for (String job : tracker.jobs()) {
            for (List<TaskStart> starts : tracker.starts(job)) {
                boolean startsOnce = starts.stream().anyMatch(s -> !s.body().repeatable());
                count += startsOnce && starts.size() > 1 ? 1 : 0;
            }
        }
        return count;
    }

    private static boolean isComplete(JobPlan plan, JobOutcome outcome) {
        if (outcome.results().size() != plan.tasks().size()) {
            return false;
        }
        for (int i = 0; i < plan.tasks().size(); i++) {
            JobOutcome.Result result = outcome.results().get(i);
            if (!result.id().equals(taskId(i))
                    || !result.body().equals(plan.body(i).result())) {
                return false;
            }
        }
        return true;
    }

    private static boolean hasForeignResult(JobPlan plan, JobOutcome outcome) {
        return outcome.results().stream().anyMatch(r -> !r.body().startsWith("done;" + plan.id() + ";"));
    }

    /**
     * Returns the identifier that callers give to a task.
     *
     * @param index the index of the task in its job, from 0
     * @return the identifier
     */
    public static String taskId(int index) {
        return "t" + index;
    }
}
