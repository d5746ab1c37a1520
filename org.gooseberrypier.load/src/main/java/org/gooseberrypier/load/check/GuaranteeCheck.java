package org.gooseberrypier.load.check;

import java.util.List;

import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.standin.endpoint.TaskStart;

/**
 * How often a promise was broken; to be made when nothing is in flight any more.
 *
 * @param startedTwice tasks that started more than once and must not
 * @param partialAnswers complete answers with a part missing, out of order or wrong
 * @param wrongCaller complete answers with a part of another job
 * @param notRunButRan jobs answered "not run" of which a task started
 */
public record GuaranteeCheck(long startedTwice, long partialAnswers, long wrongCaller, long notRunButRan) {

    /**
     * Checks all jobs of a run.
     *
     * @param records the jobs and their outcomes
     * @param ledger the starts
     * @return the counts
     */
    public static GuaranteeCheck of(List<JobRecord> records, StartTracker ledger) {
        long partial = 0;
        long wrong = 0;
        long ran = 0;
        for (JobRecord r : records) {
            for (JobOutcome o : r.outcomes()) {
                boolean complete = o.kind() == JobOutcome.Kind.COMPLETE;
                partial += complete && !isWhole(r.plan(), o) ? 1 : 0;
                wrong += complete && hasForeignPart(r.plan(), o) ? 1 : 0;
            }
            boolean notRun = r.outcomes().stream().anyMatch(o -> o.kind() == JobOutcome.Kind.NOT_RUN);
            ran += notRun && !ledger.starts(r.plan().id()).isEmpty() ? 1 : 0;
        }
        return new GuaranteeCheck(startedTwice(ledger), partial, wrong, ran);
    }

    /**
     * Tells whether every promise held.
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

    private static long startedTwice(StartTracker ledger) {
        long twice = 0;
        for (String job : ledger.jobs()) {
            for (List<TaskStart> starts : ledger.starts(job)) {
                boolean once = starts.stream().anyMatch(s -> !s.body().repeatable());
                twice += once && starts.size() > 1 ? 1 : 0;
            }
        }
        return twice;
    }

    private static boolean isWhole(JobPlan plan, JobOutcome outcome) {
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

    private static boolean hasForeignPart(JobPlan plan, JobOutcome outcome) {
        return outcome.results().stream().anyMatch(r -> !r.body().startsWith("done;" + plan.id() + ";"));
    }

    /**
     * Returns the name that callers give to a task.
     *
     * @param index the place of the task in its job, from 0
     * @return the name
     */
    public static String taskId(int index) {
        return "t" + index;
    }
}
