package org.gooseberrypier.internal.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.TeamSpec;
import org.testng.annotations.Test;

import static org.gooseberrypier.internal.placement.Fixture.DONE;
import static org.gooseberrypier.internal.placement.Fixture.TEAM;
import static org.gooseberrypier.internal.placement.Fixture.WORK;
import static org.gooseberrypier.internal.placement.Fixture.ZONE;
import static org.gooseberrypier.internal.placement.Fixture.endpoint;
import static org.gooseberrypier.internal.placement.Fixture.job;
import static org.gooseberrypier.internal.placement.Fixture.leaving;
import static org.gooseberrypier.internal.placement.Fixture.vm;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PlacementAdmissionTest {

    private static final EndpointSpec WORKER = new EndpointSpec(
            new EndpointId("w"),
            ZONE,
            "127.0.1.3:1",
            Set.of(WORK),
            16,
            64,
            Optional.of(new Resources(16_000, 64_000, 2)),
            false);

    @Test
    public void workThatNoEndpointServesCanNeverRun() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1));
        Submission other =
                new Submission(TEAM, new WorkId("other"), 1_000, false, Optional.empty(), List.of(Fixture.task(0)));
        assertEquals(refusal(f, other).reason(), Reason.CAN_NEVER_RUN);
    }

    @Test
    public void workThatOnlyLeavingEndpointsServeCanNeverRun() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(leaving(endpoint("a", 1)));
        assertEquals(refusal(f, job(1)).reason(), Reason.CAN_NEVER_RUN);
    }

    @Test
    public void taskLargerThanAnyEndpointCanNeverRun() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(WORKER);
        assertEquals(refusal(f, sized(new Resources(1_000, 1_000, 3))).reason(), Reason.CAN_NEVER_RUN);
        assertTrue(admitted(f, sized(new Resources(16_000, 1_000, 2))));
    }

    @Test
    public void taskTakesSlotsOfItsLargestResourceFraction() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(WORKER);
        for (int i = 0; i < 3; i++) {
            f.submit(sized(new Resources(1_000, 32_000, 0)));
        }
        List<Effect.StartTask> starts = f.takeStarts();
        assertEquals(starts.size(), 2);
        f.reply(starts.get(0), DONE);
        assertEquals(f.takeStarts().size(), 1);
    }

    @Test
    public void taskThatDeclaresNothingStillTakesASlot() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(WORKER);
        f.submit(job(40));
        assertEquals(f.takeStarts().size(), 16);
    }

    @Test
    public void teamWithTooManyWaitingTasksIsOverQuota() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS)
                .applyTicket(List.of(vm("vm-1")), List.of(new TeamSpec(TEAM, 1, 8, 10)), endpoint("a", 1));
        f.submit(job(9));
        assertEquals(refusal(f, job(3)).reason(), Reason.OVER_QUOTA);
        assertTrue(admitted(f, job(2)));
    }

    @Test
    public void teamThatTheTicketDoesNotListIsOverQuota() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS)
                .applyTicket(List.of(vm("vm-1")), List.of(new TeamSpec(TEAM, 1, 8, 10)), endpoint("a", 1));
        assertEquals(refusal(f, job(new TeamId("stranger"), 1, 1_000, false)).reason(), Reason.OVER_QUOTA);
    }

    @Test
    public void fullQueueRefuses() {
        Fixture f = new Fixture(DispatcherSettings.builder(new Member(Fixture.VM, 1), ZONE)
                        .maxQueuedTasks(10))
                .applyTicket(endpoint("a", 1));
        f.submit(job(10));
        assertEquals(refusal(f, job(2)).reason(), Reason.OVERLOADED);
        assertTrue(f.core.board().queue().tasks() <= 10);
    }

    @Test
    public void jobThatWouldMissItsDeadlineIsRefused() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 2));
        f.submit(job(2));
        List<Effect.StartTask> starts = f.takeStarts();
        f.advanceMs(100);
        starts.forEach(s -> f.reply(s, DONE));
        f.submit(job(100));
        Answer.NotRun refusal = refusal(f, job(TEAM, 1, 1_000, false));
        assertEquals(refusal.reason(), Reason.OVERLOADED);
        assertTrue(refusal.retryAfterMs() >= 1_000, refusal.toString());
        assertTrue(admitted(f, job(TEAM, 1, 10_000, false)));
    }

    @Test
    public void idleVmAdmitsDespiteEstimateSoThatItIsCorrected() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1));
        f.submit(job(1));
        Effect.StartTask slow = f.takeStarts().get(0);
        f.advanceMs(20_000);
        f.reply(slow, DONE);
        Submission quick = job(TEAM, 1, 5_000, false);
        assertTrue(admitted(f, quick));
        f.submit(quick);
        assertEquals(refusal(f, quick).reason(), Reason.OVERLOADED);
    }

    private static Submission sized(Resources resources) {
        return new Submission(
                TEAM, WORK, 60_000, false, Optional.empty(), List.of(new TaskSpec("t", Payload.EMPTY, 0, resources)));
    }

    private static Answer.NotRun refusal(Fixture f, Submission s) {
        return new PlacementAdmission(f.core.board()).check(s, f.nowMs).orElseThrow();
    }

    private static boolean admitted(Fixture f, Submission s) {
        return new PlacementAdmission(f.core.board()).check(s, f.nowMs).isEmpty();
    }
}
