package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the deadlines of callers at a VM that was suspended, or whose time of day jumped. */
public class SuspendedEntryTest {

    private static final VmIncarnation ENTRY = new VmIncarnation("vm-1", "zone-1", 1, 750);
    private static final VmIncarnation OWNER = new VmIncarnation("vm-0", "zone-0", 2, 750);

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolCore core;
    private long nowMs;

    @BeforeMethod
    public void linkToTheOwner() {
        effects.clear();
        nowMs = 10_000;
        core = new PoolCore(ENTRY, 3, nowMs, effects::add);
        deliver(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, OWNER)), nowMs));
        deliver(new PoolEvent.OwnerLinkUp(OWNER.address(), latestLink()));
        effects.clear();
    }

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

    private void tickFor(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            nowMs += 40;
            deliver(new PoolEvent.Tick());
        }
    }

    private boolean isWithdrawn() {
        return effects.stream()
                .anyMatch(e -> e instanceof PoolEffect.SendToOwner s && s.message() instanceof PoolMessage.WithdrawJob);
    }

    /** The steady clock does not count the 3 s of the suspension; the caller left 1.5 s before it ended. */
    @Test
    public void aKnownJobEndsAtTheDeadlineThatPassedWhileTheVmWasSuspended() {
        deliver(new PoolEvent.JobSubmitted(1, PoolJobs.job("job-1", 1, 5_000), 2_000));
        tickFor(480);
        deliver(new PoolEvent.PauseDetected(3_000));
        tickFor(80);
        assertEquals(isWithdrawn(), true, "the job is still awaited: " + effects);
    }

    /** The time of day jumps by 5 s, while the VM handles events all the time. */
    @Test(groups = "known-red")
    public void aStepOfTheTimeOfDayDoesNotEndAJobBeforeItsCallersDeadline() {
        tickFor(400);
        deliver(new PoolEvent.PauseDetected(5_000));
        nowMs += 20;
        deliver(new PoolEvent.JobSubmitted(1, PoolJobs.job("job-1", 1, 5_000), 6_000));
        tickFor(2_000);
        assertFalse(isWithdrawn(), "ended 2 s after it arrived, the caller waits for 6 s: " + effects);
    }

    /**
     * A zone is isolated. Outside of it a VM is suspended, and its caller leaves unseen at its deadline and submits the job
     * again in the zone. The VM wakes between the two and has the job handed over again.
     */
    @Test
    public void aSuspendedVmDoesNotForwardAJobWhoseCallerHasLeft() {
        List<String> broken = violations(true);
        assertTrue(broken.isEmpty(), String.join("\n", broken));
    }

    /** The control: the steady clock goes on while the VM does not run. */
    @Test
    public void aFrozenVmDoesNotForwardAJobWhoseCallerHasLeft() {
        List<String> broken = violations(false);
        assertTrue(broken.isEmpty(), String.join("\n", broken));
    }

    private static List<String> violations(boolean clockStops) {
        List<String> broken = new ArrayList<>();
        for (int seed = 1; seed <= 20; seed++) {
            PoolSimulation s = new PoolSimulation(seed, 6, 9);
            s.startAll();
            s.runUntil(18_000);
            SimulatedVm owner = s.owner();
            SimulatedVm isolated = s.vms.stream()
                    .filter(v -> !v.contact.zone().equals(owner.contact.zone()))
                    .findFirst()
                    .orElseThrow();
            SimulatedVm entry = s.vms.stream()
                    .filter(v -> v != owner && !v.contact.zone().equals(isolated.contact.zone()))
                    .findFirst()
                    .orElseThrow();
            s.cutZone(isolated.contact.zone());
            s.runUntil(s.nowMs() + 3_000);
            PoolJob job = PoolJobs.patientJob("job-001", 1, 5_000);
            s.callers.put(job.id(), new PoolSimulation.Caller(job, 2_500));
            entry.deliver(entry.startNumber(), new PoolEvent.JobSubmitted(1_000_000, job, 2_500));
            s.after(100, clockStops ? entry::suspend : entry::freeze);
            s.after(3_100, entry::thaw);
            s.after(2_500 + 1_300, () -> s.submitAt(isolated, job));
            s.runUntil(s.nowMs() + 8_000);
            for (String v : s.violations) {
                broken.add("seed " + seed + ": " + v);
            }
        }
        return broken;
    }
}
