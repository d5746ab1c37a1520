package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against runs for callers that left unseen by their VM, since their connections had become silent. */
public class CallerDeadlineTest {

    private static final VmIncarnation ENTRY = new VmIncarnation("10.0.0.1:1", "zone-a", 1, 1_000);
    private static final VmIncarnation OWNER = new VmIncarnation("10.0.0.2:1", "zone-b", 2, 1_000);

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolCore core;
    private long nowMs;
    private long link;

    @BeforeMethod
    public void linkToTheOwner() {
        effects.clear();
        nowMs = 10_000;
        core = new PoolCore(ENTRY, 3, nowMs, effects::add);
        deliver(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, OWNER)), nowMs));
        link = latestLink();
        deliver(new PoolEvent.OwnerLinkUp(OWNER.address(), link));
        effects.clear();
    }

    /** Returns the number of the latest link. */
    private long latestLink() {
        return effects.stream()
                .filter(PoolEffect.LinkOwner.class::isInstance)
                .mapToLong(e -> ((PoolEffect.LinkOwner) e).link())
                .max()
                .orElseThrow();
    }

    private void deliver(PoolEvent event) {
        core.handle(event, nowMs);
    }

    private void submit(long call, long patienceMs) {
        deliver(new PoolEvent.JobSubmitted(call, PoolJobs.job("job-1", 1, 5_000), patienceMs));
    }

    private void tickUntil(long untilMs) {
        while (nowMs < untilMs) {
            nowMs = Math.min(untilMs, nowMs + 40);
            deliver(new PoolEvent.Tick());
        }
    }

    private List<PoolMessage.ToOwner> sent() {
        return effects.stream()
                .filter(PoolEffect.SendToOwner.class::isInstance)
                .map(e -> ((PoolEffect.SendToOwner) e).message())
                .toList();
    }

    private List<JobOutcome> answers() {
        return effects.stream()
                .filter(PoolEffect.Answer.class::isInstance)
                .map(e -> ((PoolEffect.Answer) e).outcome())
                .toList();
    }

    @Test
    public void aJobIsWithdrawnAtTheDeadlineOfItsLastCaller() {
        submit(1, 500);
        submit(2, 800);
        tickUntil(10_799);
        assertEquals(sent().size(), 2, "only the forward and its extension: " + sent());
        assertEquals(((PoolMessage.ForwardJob) sent().get(0)).awaitedMs(), 500);
        assertEquals(sent().get(1), new PoolMessage.ExtendJob("job-1", 800));
        tickUntil(10_800);
        assertEquals(sent().get(2), new PoolMessage.WithdrawJob("job-1"));
        assertEquals(answers().size(), 2);
        assertTrue(
                answers().stream().allMatch(JobOutcome.Unknown.class::isInstance),
                answers().toString());
    }

    @Test
    public void aJobIsNotForwardedAfterTheDeadlineOfItsCaller() {
        submit(1, 500);
        deliver(new PoolEvent.OwnerLinkDown(OWNER.address(), link, false));
        effects.clear();
        nowMs += 501;
        deliver(new PoolEvent.OwnerLinkUp(OWNER.address(), link));
        assertEquals(sent(), List.of(new PoolMessage.ForwardsBegin()));
    }

    /** The VM was paused; the request may have arrived at the beginning of the pause. */
    @Test
    public void aRequestThatIsReadAfterItsCallersPatienceIsNotRun() {
        nowMs += 2_000;
        submit(1, 1_900);
        assertEquals(sent(), List.of());
        assertTrue(answers().get(0) instanceof JobOutcome.Refused, answers().toString());
    }

    /** Ticks are skipped while the event loop is blocked; the owner starts tasks for a VM that acknowledges heartbeats. */
    @Test
    public void aHeartbeatIsNotAcknowledgedBeforeOverdueCallersHaveLeft() {
        submit(1, 500);
        nowMs += 600;
        deliver(new PoolEvent.OwnerMessageReceived(
                OWNER.address(), link, new PoolMessage.Heartbeat(1, 77, List.of(), Map.of(), false)));
        assertEquals(
                sent().subList(1, sent().size()),
                List.of(new PoolMessage.WithdrawJob("job-1"), new PoolMessage.HeartbeatReceived(77)));
    }

    /** The request waited in the ring of the core, or in the socket, while the VM handled other events. */
    @Test
    public void theDeadlineCountsFromTheTimeAtWhichTheRequestArrived() {
        tickUntil(10_400);
        deliver(new PoolEvent.JobSubmitted(1, PoolJobs.job("job-1", 1, 5_000), 500, 10_100));
        tickUntil(10_599);
        assertEquals(sent().size(), 1, "only the forward: " + sent());
        tickUntil(10_600);
        assertEquals(sent().get(1), new PoolMessage.WithdrawJob("job-1"));
    }

    @Test
    public void aRequestForWhichNothingIsLeftIsRefusedAtOnce() {
        tickUntil(10_600);
        deliver(new PoolEvent.JobSubmitted(1, PoolJobs.job("job-1", 1, 5_000), 500, 10_100));
        assertEquals(sent(), List.of());
        assertTrue(answers().get(0) instanceof JobOutcome.Refused, answers().toString());
    }

    @Test
    public void aCallerThatTellsNoDeadlineIsAwaited() {
        submit(1, PoolEvent.JobSubmitted.UNLIMITED);
        tickUntil(60_000);
        assertEquals(sent().size(), 1);
        assertEquals(answers(), List.of());
    }
}
