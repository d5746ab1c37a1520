package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests how a VM tells a suspension from a step of the time of day by the clock of its owner. */
public class SuspensionEvidenceTest {

    private static final VmIncarnation ENTRY = new VmIncarnation("vm-1", "zone-1", 1, 750);
    private static final VmIncarnation OWNER = new VmIncarnation("vm-0", "zone-0", 2, 750);
    private static final long TOKEN = new Ownership(0, OWNER).token();
    private static final long HEARTBEAT_INTERVAL_MS = 100;

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolCore core;
    private long link;
    private long nowMs;
    /** How far the owner's clock is ahead. */
    private long aheadMs;

    @BeforeMethod
    public void linkToTheOwner() {
        effects.clear();
        nowMs = 10_000;
        aheadMs = 700_000;
        core = new PoolCore(ENTRY, 3, nowMs, effects::add);
        deliver(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, OWNER)), nowMs));
        link = effects.stream()
                .filter(PoolEffect.LinkOwner.class::isInstance)
                .mapToLong(e -> ((PoolEffect.LinkOwner) e).link())
                .max()
                .orElseThrow();
        deliver(new PoolEvent.OwnerLinkUp(OWNER.address(), link));
        effects.clear();
    }

    private void deliver(PoolEvent event) {
        core.handle(event, nowMs);
    }

    private void heartbeat(long sentAtMs) {
        deliver(new PoolEvent.OwnerMessageReceived(
                OWNER.address(), link, new PoolMessage.Heartbeat(TOKEN, sentAtMs, List.of(), Map.of(), false)));
    }

    private void tickFor(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            nowMs += 20;
            deliver(new PoolEvent.Tick());
        }
    }

    /** Runs the VM while the owner's heartbeats arrive in time. */
    private void runFor(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            tickFor(HEARTBEAT_INTERVAL_MS);
            heartbeat(nowMs + aheadMs);
        }
    }

    /** Suspends the VM, so that its clock stands still while that of the owner goes on. */
    private void suspendFor(long ms) {
        aheadMs += ms;
        deliver(new PoolEvent.PauseDetected(ms));
    }

    private void submit(long patienceMs) {
        deliver(new PoolEvent.JobSubmitted(1, PoolJobs.job("job-1", 1, 5_000), patienceMs));
    }

    private List<String> sent() {
        List<String> sent = new ArrayList<>();
        for (PoolEffect e : effects) {
            if (e instanceof PoolEffect.SendToOwner s && s.message() instanceof PoolMessage.ForwardJob) {
                sent.add("forward");
            } else if (e instanceof PoolEffect.SendToOwner s && s.message() instanceof PoolMessage.WithdrawJob) {
                sent.add("withdraw");
            }
        }
        return sent;
    }

    private long answers() {
        return effects.stream().filter(PoolEffect.Answer.class::isInstance).count();
    }

    @Test
    public void aJobWhoseCallerLeftDuringASuspensionIsWithdrawnAtOnceAndEnds() {
        runFor(500);
        submit(2_000);
        runFor(500);
        suspendFor(3_000);
        assertEquals(sent(), List.of("forward", "withdraw"));
        assertEquals(answers(), 0);
        runFor(300);
        assertEquals(sent(), List.of("forward", "withdraw"));
        assertEquals(answers(), 1);
    }

    @Test
    public void aJobWhoseCallerMayWaitLongerStaysThroughASuspension() {
        runFor(500);
        submit(6_000);
        runFor(500);
        suspendFor(3_000);
        runFor(2_000);
        assertEquals(sent(), List.of("forward"));
        runFor(500);
        assertEquals(
                sent(), List.of("forward", "withdraw"), "the caller left 6 s after it came, 3 s of them suspended");
    }

    @Test
    public void aStepOfTheTimeOfDayEndsNoJobBeforeItsCallersDeadline() {
        runFor(500);
        submit(2_000);
        runFor(500);
        deliver(new PoolEvent.PauseDetected(5_000));
        runFor(300);
        assertEquals(
                sent(), List.of("forward", "withdraw", "forward"), "held until the owner's clock has shown the step");
        runFor(1_000);
        assertEquals(answers(), 0);
        runFor(300);
        assertEquals(sent(), List.of("forward", "withdraw", "forward", "withdraw"));
        assertEquals(answers(), 1);
    }

    @Test
    public void aRequestThatIsReadAfterAStepIsForwardedWhenTheOwnersClockHasShownIt() {
        runFor(500);
        deliver(new PoolEvent.PauseDetected(5_000));
        nowMs += 20;
        submit(2_000);
        assertEquals(sent(), List.of());
        runFor(300);
        assertEquals(sent(), List.of("forward"));
        runFor(1_600);
        assertEquals(answers(), 0);
    }

    /** As in {@link SuspendedEntryTest}, but the owner's heartbeats arrive. */
    @Test
    public void aRequestThatIsReadAfterAStepIsAwaitedUntilItsCallersDeadline() {
        runFor(400);
        deliver(new PoolEvent.PauseDetected(5_000));
        nowMs += 20;
        submit(6_000);
        runFor(5_900);
        assertEquals(sent(), List.of("forward"));
        assertEquals(answers(), 0);
        runFor(200);
        assertEquals(sent(), List.of("forward", "withdraw"));
    }

    /** The heartbeats were sent while the VM was suspended and waited in its socket. */
    @Test
    public void heartbeatsThatWereSentDuringASuspensionShowNoStep() {
        runFor(500);
        submit(2_000);
        runFor(500);
        long suspendedAtMs = nowMs + aheadMs;
        suspendFor(3_000);
        for (int i = 1; i <= 4; i++) {
            heartbeat(suspendedAtMs + i * HEARTBEAT_INTERVAL_MS);
        }
        tickFor(600);
        assertEquals(sent(), List.of("forward", "withdraw"));
        assertEquals(answers(), 1);
    }

    @Test
    public void withoutEvidenceASuspensionIsAssumed() {
        submit(2_000);
        tickFor(500);
        deliver(new PoolEvent.PauseDetected(3_000));
        tickFor(480);
        assertEquals(answers(), 0);
        tickFor(20);
        assertEquals(answers(), 1);
    }

    @Test
    public void aHeartbeatIsNotAcknowledgedBeforeJobsThatMayBeOverdueAreWithdrawn() {
        runFor(500);
        submit(2_000);
        runFor(500);
        effects.clear();
        suspendFor(3_000);
        heartbeat(nowMs + aheadMs);
        List<PoolMessage.ToOwner> messages = effects.stream()
                .filter(PoolEffect.SendToOwner.class::isInstance)
                .map(e -> ((PoolEffect.SendToOwner) e).message())
                .toList();
        assertTrue(messages.get(0) instanceof PoolMessage.WithdrawJob, messages.toString());
        assertTrue(messages.get(1) instanceof PoolMessage.HeartbeatReceived, messages.toString());
    }
}
