package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a job that outlives its caller at a new owner, while the caller has submitted it again in the isolated zone of the
 * old owner.
 */
public class AbandonedJobTest {

    private static final int SEEDS = 20;
    private static final long RESUBMIT_DELAY_MS = 1_300;

    /** The zone of the owner is isolated; the job is forwarded to it in vain, and then to the next owner. */
    private static List<String> violations(long patienceMs, BiConsumer<PoolSimulation, SimulatedVm> disturbance) {
        List<String> broken = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolSimulation s = new PoolSimulation(seed, 6, 9);
            s.startAll();
            s.runUntil(18_000);
            SimulatedVm owner = s.owner();
            SimulatedVm entry = s.vms.stream()
                    .filter(v -> !v.contact.zone().equals(owner.contact.zone()))
                    .findFirst()
                    .orElseThrow();
            s.cutZone(owner.contact.zone());
            s.runUntil(s.nowMs() + 100);
            PoolJob job = PoolJobs.patientJob("job-001", 2, 1_000);
            s.callers.put(job.id(), new PoolSimulation.Caller(job, patienceMs));
            entry.deliver(entry.startNumber(), new PoolEvent.JobSubmitted(1_000_000, job, patienceMs));
            s.after(patienceMs + RESUBMIT_DELAY_MS, () -> s.submitAt(owner, job));
            disturbance.accept(s, entry);
            s.runUntil(s.nowMs() + 8_000);
            assertTrue(s.startCount > 0, "nothing was started with seed " + seed);
            for (String v : s.violations) {
                broken.add("seed " + seed + ": " + v);
            }
        }
        return broken;
    }

    /** A job ends at the deadline that its forward names, although nobody tells its owner. */
    @Test
    public void aJobEndsAtTheDeadlineOfItsCallerWithoutAWithdrawal() {
        for (long patienceMs = 700; patienceMs <= 1_900; patienceMs += 200) {
            assertEquals(
                    violations(patienceMs, (s, entry) -> s.links.losesWithdrawals = true),
                    List.of(),
                    "patience " + patienceMs);
        }
    }

    /** The caller leaves unseen; its VM skips ticks, since its event loop was blocked, and acknowledges heartbeats. */
    @Test
    public void aVmThatSkipsTicksDoesNotVouchForACallerThatHasLeft() {
        for (long patienceMs = 700; patienceMs <= 1_300; patienceMs += 200) {
            long skippedAfterMs = patienceMs - 50;
            assertEquals(
                    violations(
                            patienceMs,
                            (s, entry) -> s.after(skippedAfterMs, () -> entry.ticksSkippedUntilMs = s.nowMs() + 1_500)),
                    List.of(),
                    "patience " + patienceMs);
        }
    }
}
