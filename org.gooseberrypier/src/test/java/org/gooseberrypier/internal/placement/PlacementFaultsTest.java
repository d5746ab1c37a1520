package org.gooseberrypier.internal.placement;

import java.util.List;

import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.EndpointId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PlacementFaultsTest {

    @Test
    public void failingEndpointFailsFewTasks() {
        CoreSimulation l = CreditsPolicyTest.simulation(PlacementPolicies.CREDITS, 11);
        l.run(3_000);
        l.endpoints.get(new EndpointId("e-0")).failing = true;
        CreditsPolicyTest.submitLoad(l, 0.8, 20_000);
        l.run(2_000);
        long failedBefore = l.count(Counter.TASKS_FAILED);
        long startedBefore = l.count(Counter.TASKS_STARTED);
        l.run(28_000);
        long failed = l.count(Counter.TASKS_FAILED) - failedBefore;
        long started = l.count(Counter.TASKS_STARTED) - startedBefore;
        assertTrue(failed <= 0.005 * started, failed + " tasks failed of " + started + " started");
    }

    @Test
    public void admittedJobsOfBurstMeetTheirDeadlines() {
        CoreSimulation l = CreditsPolicyTest.simulation(PlacementPolicies.CREDITS, 12);
        l.run(3_000);
        CreditsPolicyTest.submitLoad(l, 0.5, 5_000, 4_000);
        l.run(8_000);
        l.answers.clear();
        CreditsPolicyTest.submitLoad(l, 3, 5_000, 4_000);
        l.run(20_000);
        long complete = count(l, Answer.Complete.class);
        long lateOrUnknown = count(l, Answer.Failed.class) + count(l, Answer.Unknown.class);
        long expired = l.answers.values().stream()
                .filter(a -> a instanceof Answer.NotRun n && n.detail().startsWith("withdrawn"))
                .count();
        assertTrue(count(l, Answer.NotRun.class) > 0, "no submission was refused");
        assertTrue(
                lateOrUnknown + expired <= 0.01 * complete,
                "complete " + complete + " late " + lateOrUnknown + " expired " + expired);
    }

    @Test
    public void allSlotsAreFreeAfterMassDeadlineExpiry() {
        CoreSimulation l = CreditsPolicyTest.simulation(PlacementPolicies.CREDITS, 13);
        l.run(3_000);
        CreditsPolicyTest.submitLoad(l, 1.5, 5_000, 1_000);
        l.run(20_000);
        l.cores.values().forEach(c -> {
            assertEquals(c.board().queue().tasks(), 0);
            assertEquals(c.board().queue().bytes(), 0);
            c.board().endpoints().states().values().forEach(e -> assertEquals(e.usedSlots(), 0));
        });
        assertEquals(
                List.copyOf(l.startsByTask.values()).stream().filter(n -> n > 1).count(), 0);
    }

    private static long count(CoreSimulation l, Class<? extends Answer> kind) {
        return l.answers.values().stream().filter(kind::isInstance).count();
    }
}
