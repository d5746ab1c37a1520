package org.gooseberrypier.load.check;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.load.workload.Service;
import org.gooseberrypier.load.workload.TaskPlan;
import org.gooseberrypier.standin.endpoint.TaskStart;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class GuaranteeCheckTest {

    private StartTracker tracker;
    private JobPlan plan;

    @BeforeMethod
    public void open() {
        tracker = new StartTracker();
        plan = plan("job-a", false);
    }

    @Test
    public void completeAnswerPasses() {
        start(plan, 0, "k/1");
        start(plan, 1, "k/1");
        assertTrue(check(JobOutcome.Kind.COMPLETE, completeResults(plan)).holds());
    }

    @Test
    public void aSecondStartIsFound() {
        start(plan, 0, "k/1");
        start(plan, 0, "k/1");
        assertEquals(check(JobOutcome.Kind.FAILED, List.of()).startedTwice(), 1);
    }

    @Test
    public void aSecondStartUnderAnotherJobIdIsFound() {
        start(plan, 0, "k/1");
        start(plan, 0, "n/vm1/7/1");
        assertEquals(check(JobOutcome.Kind.FAILED, List.of()).startedTwice(), 1);
    }

    @Test
    public void aRepeatableTaskMayStartTwice() {
        JobPlan repeatable = plan("job-b", true);
        start(repeatable, 0, "k/1");
        start(repeatable, 0, "k/1");
        assertEquals(GuaranteeCheck.of(List.of(), tracker).startedTwice(), 0);
        assertEquals(tracker.extraStarts(true), 1);
    }

    @Test
    public void aMissingPartIsFound() {
        assertEquals(
                check(JobOutcome.Kind.COMPLETE, completeResults(plan).subList(0, 1))
                        .partialAnswers(),
                1);
    }

    @Test
    public void swappedPartsAreFound() {
        List<JobOutcome.Result> results = new ArrayList<>(completeResults(plan));
        results.add(results.remove(0));
        assertEquals(check(JobOutcome.Kind.COMPLETE, results).partialAnswers(), 1);
    }

    @Test
    public void theAnswerOfAnotherCallerIsFound() {
        GuaranteeCheck check = check(JobOutcome.Kind.COMPLETE, completeResults(plan("job-b", false)));
        assertEquals(check.wrongCaller(), 1);
        assertFalse(check.holds());
    }

    @Test
    public void jobAnsweredNotRunThatRanIsFound() {
        start(plan, 1, "k/1");
        assertEquals(check(JobOutcome.Kind.NOT_RUN, List.of()).notRunButRan(), 1);
    }

    @Test
    public void startOfAnotherJobDoesNotContradictNotRun() {
        start(plan("job-b", false), 1, "k/1");
        assertEquals(check(JobOutcome.Kind.NOT_RUN, List.of()).notRunButRan(), 0);
    }

    private GuaranteeCheck check(JobOutcome.Kind kind, List<JobOutcome.Result> results) {
        JobOutcome outcome = new JobOutcome(kind, results, 200, "", 1);
        return GuaranteeCheck.of(List.of(new JobRecord(plan, List.of(outcome), 1)), tracker);
    }

    private void start(JobPlan p, int index, String jobId) {
        tracker.started(new TaskStart("e1", jobId, "t" + index, p.body(index), 0, 50));
    }

    private static JobPlan plan(String id, boolean repeatable) {
        List<TaskPlan> tasks = List.of(new TaskPlan(50, 50), new TaskPlan(70, 70));
        return new JobPlan(
                id, 0, Service.CASES, "verify-citation", tasks, 1_000, true, repeatable, false, OptionalLong.empty());
    }

    private static List<JobOutcome.Result> completeResults(JobPlan plan) {
        return List.of(
                new JobOutcome.Result("t0", plan.body(0).result()),
                new JobOutcome.Result("t1", plan.body(1).result()));
    }
}
