package org.gooseberrypier.internal.placement;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.EndpointHealth;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.TeamSpec;
import org.gooseberrypier.ticket.VmSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.gooseberrypier.internal.placement.Fixture.DONE;
import static org.gooseberrypier.internal.placement.Fixture.TEAM;
import static org.gooseberrypier.internal.placement.Fixture.endpoint;
import static org.gooseberrypier.internal.placement.Fixture.job;
import static org.gooseberrypier.internal.placement.Fixture.leaving;
import static org.gooseberrypier.internal.placement.Fixture.vm;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

public class PlacementControllerTest {

    private static final TaskReply REFUSED = new TaskReply.NotStarted("busy");
    private static final TaskReply BROKEN = new TaskReply.Failed(500, "broken");

    @DataProvider
    public Object[][] policies() {
        return new Object[][] {
            {PlacementPolicies.RANDOM},
            {PlacementPolicies.LEAST_OUTSTANDING},
            {PlacementPolicies.STATIC_SHARES},
            {PlacementPolicies.CREDITS}
        };
    }

    @Test(dataProvider = "policies")
    public void slotsAreFilledAndNeverExceeded(String policy) {
        Fixture f = new Fixture(policy).applyTicket(endpoint("a", 2), endpoint("b", 3));
        f.submit(job(9));
        List<Effect.StartTask> first = f.takeStarts();
        assertEquals(first.size(), 5);
        assertEquals(f.endpointState("a").usedSlots(), 2);
        assertEquals(f.endpointState("b").usedSlots(), 3);
        assertEquals(f.core.board().queue().tasks(), 4);
        f.reply(first.get(0), DONE);
        assertEquals(f.takeStarts().size(), 1);
    }

    @Test(dataProvider = "policies")
    public void eachTaskStartsOnceAndAnswerIsComplete(String policy) {
        Fixture f = new Fixture(policy).applyTicket(endpoint("a", 2), endpoint("b", 3));
        f.submit(job(40));
        Set<Object> started = new HashSet<>();
        List<Effect.StartTask> starts = f.takeStarts();
        while (!starts.isEmpty()) {
            f.advanceMs(10);
            for (Effect.StartTask s : starts) {
                assertTrue(started.add(s.task()), s.task() + " started twice");
                f.reply(s, DONE);
            }
            starts = f.takeStarts();
        }
        assertEquals(started.size(), 40);
        assertTrue(f.takeEffects(Effect.AnswerCaller.class).get(0).answer() instanceof Answer.Complete);
        assertEquals(f.core.board().queue().bytes(), 0);
    }

    @Test
    public void unknownPolicyIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new Fixture("best"));
    }

    @Test(dataProvider = "policies")
    public void leavingEndpointGetsNoTaskAfterTicketEvent(String policy) {
        Fixture f = new Fixture(policy).applyTicket(endpoint("a", 1), endpoint("b", 1));
        f.submit(job(10));
        List<Effect.StartTask> starts = f.takeStarts();
        f.applyTicket(leaving(endpoint("a", 1)), endpoint("b", 1));
        for (Effect.StartTask s : starts) {
            f.reply(s, s.endpoint().name().equals("a") ? REFUSED : DONE);
        }
        f.advanceMs(50);
        for (Effect.StartTask s : f.takeStarts()) {
            assertEquals(s.endpoint().name(), "b");
        }
        assertEquals(drained(f), 1);
    }

    @Test
    public void leavingEndpointGetsNoTaskAfterTicketFromPeer() {
        List<VmSpec> vms = List.of(vm("vm-1"), vm("vm-5"));
        EndpointSpec[] all = {endpoint("a", 4), endpoint("b", 4), endpoint("c", 4), endpoint("d", 4)};
        EndpointSpec[] leaving = Arrays.stream(all).map(Fixture::leaving).toArray(EndpointSpec[]::new);
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(vms, List.of(), all);
        f.receiveHeartbeat(new Member(new VmId("vm-5"), 1));
        f.advanceMs(1_500);
        f.submit(job(100));
        assertTrue(f.takeStarts().size() < 16, "a task was started without a credit on an endpoint of the other VM");
        f.receiveTicket(new Member(new VmId("vm-5"), 2), vms, leaving);
        assertEquals(f.takeStarts(), List.of());
    }

    @Test
    public void removedEndpointIsKeptUntilItsTaskEnds() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1), endpoint("b", 1));
        f.submit(job(2));
        Effect.StartTask onA = f.takeStarts().stream()
                .filter(s -> s.endpoint().name().equals("a"))
                .findFirst()
                .orElseThrow();
        f.applyTicket(endpoint("b", 1));
        assertEquals(f.endpointState("a").outstanding(), 1);
        f.reply(onA, DONE);
        assertEquals(f.endpointState("a"), null);
        assertEquals(drained(f), 1);
    }

    @Test
    public void waitingTasksAreWithdrawnWhenNoEndpointServesTheirWork() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1));
        f.submit(job(2));
        Effect.StartTask running = f.takeStarts().get(0);
        f.applyTicket();
        assertEquals(f.core.board().queue().tasks(), 0);
        f.reply(running, DONE);
        assertEquals(f.takeEffects(Effect.AnswerCaller.class).size(), 1);
    }

    @Test
    public void refusedTaskIsRetriedAfterBackoff() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1));
        f.submit(job(1));
        f.reply(f.takeStarts().get(0), REFUSED);
        assertEquals(f.takeStarts().size(), 0);
        assertEquals(f.core.board().queue().tasks(), 1);
        f.advanceMs(20);
        assertEquals(f.takeStarts().size(), 1);
        assertEquals(f.count(Counter.WASTED_REFUSED), 1);
    }

    @Test
    public void retriesStayWithinTheirBudget() {
        Fixture f = new Fixture(PlacementPolicies.RANDOM).applyTicket(endpoint("a", 400), endpoint("b", 400));
        f.submit(job(490));
        int sent = 490;
        List<Effect.StartTask> starts = f.takeStarts();
        for (int round = 0; round < 50; round++) {
            starts.forEach(s -> f.reply(s, REFUSED));
            f.advanceMs(10);
            starts = f.takeStarts();
            sent += starts.size();
        }
        assertTrue(sent < 490 + 200, "attempts sent: " + sent);
        assertTrue(f.count(Counter.RETRIES_PUT_OFF) > 0);
    }

    @Test
    public void lostTaskIsNotRetriedUnlessRepeatable() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1), endpoint("b", 1));
        f.submit(job(1));
        f.reply(f.takeStarts().get(0), new TaskReply.Lost("silent"));
        f.advanceMs(5_000);
        assertEquals(f.takeStarts().size(), 0);
        assertTrue(f.takeEffects(Effect.AnswerCaller.class).get(0).answer() instanceof Answer.Unknown);
    }

    @Test
    public void retriedTaskThatMayHaveRunIsReportedUnknown() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1), endpoint("b", 1));
        f.submit(job(TEAM, 1, 500, true));
        f.reply(f.takeStarts().get(0), new TaskReply.Lost("silent"));
        f.advanceMs(20);
        assertEquals(f.count(Counter.WASTED_REPEATED), 1);
        f.reply(f.takeStarts().get(0), REFUSED);
        f.applyTicket();
        f.advanceMs(1_000);
        assertTrue(f.takeEffects(Effect.AnswerCaller.class).get(0).answer() instanceof Answer.Unknown);
    }

    @Test
    public void taskPastItsDeadlineIsNotStarted() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1));
        f.submit(job(TEAM, 1, 10_000, false));
        f.submit(job(TEAM, 3, 100, false));
        Effect.StartTask running = f.takeStarts().get(0);
        f.advanceMs(100);
        assertTrue(f.takeEffects(Effect.AnswerCaller.class).get(0).answer() instanceof Answer.NotRun);
        f.reply(running, DONE);
        assertEquals(f.takeStarts().size(), 0);
    }

    @Test
    public void withdrawnTasksEndOnceAndRunningOnesAreCancelled() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 2));
        f.submit(job(400));
        List<Effect.StartTask> running = f.takeStarts();
        var withdrawn = new InternalEvent.JobWithdrawn(running.get(0).task().job(), Reason.CANCELLED);
        f.core.handle(withdrawn, f.nowMs);
        f.core.handle(withdrawn, f.nowMs);
        assertEquals(f.core.board().queue().tasks(), 0);
        assertEquals(f.takeEffects(Effect.CancelTask.class).size(), 2);
        f.reply(running.get(0), DONE);
        f.reply(running.get(1), REFUSED);
        f.advanceMs(1_000);
        assertEquals(f.takeStarts().size(), 0);
        assertEquals(f.takeEffects(Effect.AnswerCaller.class).size(), 1);
    }

    @Test
    public void teamsShareTheSlotsByWeight() {
        TeamId heavy = new TeamId("heavy");
        TeamId light = new TeamId("light");
        Fixture f = new Fixture(PlacementPolicies.CREDITS)
                .applyTicket(
                        List.of(vm("vm-1")),
                        List.of(new TeamSpec(heavy, 3, 100, 1_000), new TeamSpec(light, 1, 100, 1_000)),
                        endpoint("a", 4));
        f.submit(job(light, 400, 60_000, false));
        f.submit(job(heavy, 400, 60_000, false));
        int[] started = new int[2];
        List<Effect.StartTask> starts = f.takeStarts();
        starts.forEach(s -> f.reply(s, DONE));
        for (int i = 0; i < 200; i++) {
            Effect.StartTask s = f.takeStarts().get(0);
            started[
                    f.core.board()
                                    .submissions()
                                    .jobs()
                                    .get(s.task().job())
                                    .submission()
                                    .team()
                                    .equals(heavy)
                            ? 0
                            : 1]++;
            f.advanceMs(10);
            f.reply(s, DONE);
        }
        assertTrue(Math.abs(started[0] - 150) <= 8, "tasks started: heavy " + started[0] + ", light " + started[1]);
    }

    @Test
    public void teamRunsNoMoreThanItsQuota() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS)
                .applyTicket(List.of(vm("vm-1")), List.of(new TeamSpec(TEAM, 1, 3, 1_000)), endpoint("a", 8));
        f.submit(job(10));
        List<Effect.StartTask> starts = f.takeStarts();
        assertEquals(starts.size(), 3);
        assertEquals(audits(f, AuditEntry.Kind.QUOTA_HIT), 1);
        f.reply(starts.get(0), DONE);
        assertEquals(f.takeStarts().size(), 1);
    }

    @Test
    public void shortJobOvertakesLongJob() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 2));
        f.submit(job(400));
        f.advanceMs(10);
        f.submit(job(1));
        List<Effect.StartTask> starts = f.takeStarts();
        f.reply(starts.get(0), DONE);
        Effect.StartTask next = f.takeStarts().get(0);
        assertTrue(
                !next.task().job().equals(starts.get(0).task().job()), "the long job was served before the short job");
    }

    @Test
    public void failingEndpointIsQuarantinedThenRestoredByProbation() {
        Fixture f = new Fixture(PlacementPolicies.LEAST_OUTSTANDING)
                .applyTicket(endpoint("a", 2), endpoint("b", 2), endpoint("c", 2), endpoint("d", 2));
        int failed = failAllOn(f, "a", 200);
        assertTrue(failed <= 4, "tasks failed: " + failed);
        assertEquals(f.endpointState("a").health(), EndpointHealth.QUARANTINED);
        assertEquals(audits(f, AuditEntry.Kind.ENDPOINT_QUARANTINED), 1);
        f.advanceMs(2_000);
        assertEquals(f.takeEffects(Effect.ProbeEndpoint.class).size(), 1);
        f.core.handle(new EndpointEvent.Probed(f.endpointState("a").spec().id(), true), f.nowMs);
        f.submit(job(20));
        List<Effect.StartTask> starts = f.takeStarts();
        assertEquals(
                starts.stream().filter(s -> s.endpoint().name().equals("a")).count(), 1);
        starts.forEach(s -> f.reply(s, DONE));
        assertEquals(f.endpointState("a").health(), EndpointHealth.HEALTHY);
        assertEquals(audits(f, AuditEntry.Kind.ENDPOINT_RESTORED), 1);
    }

    @Test
    public void failingTasksDoNotQuarantineAllEndpoints() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS)
                .applyTicket(endpoint("a", 2), endpoint("b", 2), endpoint("c", 2), endpoint("d", 2));
        for (int i = 0; i < 100; i++) {
            f.submit(job(1));
            f.advanceMs(10);
            f.takeStarts().forEach(s -> f.reply(s, BROKEN));
        }
        long healthy = f.core.board().endpoints().states().values().stream()
                .filter(e -> e.health() == EndpointHealth.HEALTHY)
                .count();
        assertTrue(healthy >= 2, "healthy endpoints: " + healthy);
    }

    @Test
    public void idleEndpointIsProbedBeforeTaskIsSent() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1), endpoint("b", 1));
        f.advanceMs(20_000);
        f.submit(job(1));
        assertEquals(f.takeStarts().size(), 0);
        List<Effect.ProbeEndpoint> probes = f.takeEffects(Effect.ProbeEndpoint.class);
        assertEquals(probes.size(), 2);
        f.core.handle(new EndpointEvent.Probed(probes.get(0).endpoint(), false), f.nowMs);
        assertEquals(f.takeStarts().size(), 0);
        f.core.handle(new EndpointEvent.Probed(probes.get(1).endpoint(), true), f.nowMs);
        assertEquals(f.takeStarts().get(0).endpoint(), probes.get(1).endpoint());
    }

    @Test
    public void slowEndpointIsRankedLast() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 2), endpoint("b", 2));
        for (int i = 0; i < 20; i++) {
            f.submit(job(4));
            List<Effect.StartTask> starts = f.takeStarts();
            f.advanceMs(50);
            starts.stream().filter(s -> s.endpoint().name().equals("a")).forEach(s -> f.reply(s, DONE));
            f.advanceMs(300);
            starts.stream().filter(s -> s.endpoint().name().equals("b")).forEach(s -> f.reply(s, DONE));
        }
        f.submit(job(1));
        assertEquals(f.takeStarts().get(0).endpoint().name(), "a");
    }

    @Test
    public void replyToUnknownAttemptIsOnlyCounted() {
        Fixture f = new Fixture(PlacementPolicies.CREDITS).applyTicket(endpoint("a", 1));
        f.core.handle(new EndpointEvent.Replied(99, new TaskReply.Succeeded(Payload.EMPTY)), f.nowMs);
        assertEquals(f.count(Counter.WASTED_LATE), 1);
        assertEquals(f.endpointState("a").outstanding(), 0);
    }

    private static int failAllOn(Fixture f, String endpoint, int jobs) {
        int failed = 0;
        for (int i = 0; i < jobs; i++) {
            f.submit(job(1));
            Effect.StartTask s = f.takeStarts().get(0);
            boolean bad = s.endpoint().name().equals(endpoint);
            failed += bad ? 1 : 0;
            f.reply(s, bad ? BROKEN : DONE);
            f.advanceMs(1);
        }
        return failed;
    }

    private static long drained(Fixture f) {
        return audits(f, AuditEntry.Kind.ENDPOINT_DRAINED);
    }

    private static long audits(Fixture f, AuditEntry.Kind kind) {
        return f.effectsOf(Effect.Audit.class).stream()
                .filter(a -> a.entry().kind() == kind)
                .count();
    }
}
