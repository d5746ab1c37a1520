package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that an owner ends the jobs that a VM has no more when it opens its next link, in virtual time. */
public class LostWithdrawalTest {

    private static final int SEEDS = 100;

    /**
     * The link becomes silent, the caller leaves, and the VM opens the next link. The owner must learn that nobody waits for
     * the job, whether it notices the loss of the first link before the next one is up or not.
     */
    @Test
    public void runsOfACallerThatLeftBetweenTwoLinksOfItsVmAreStopped() {
        List<String> failures = new ArrayList<>();
        int replaced = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolSimulation s = new PoolSimulation(seed, 6, 9);
            s.startAll();
            s.runUntil(2_000);
            SimulatedVm entry =
                    s.vms.stream().filter(v -> !v.isOwner()).findFirst().orElseThrow();
            // The VM detects the silence after 400 to 500 ms, and the next link is up 40 ms later.
            s.submit(PoolJobs.patientJob("elsewhere", 1, 100));
            PoolSimulation.Caller caller = s.submitAt(entry, PoolJobs.patientJob("job-001", 2, 5_000));
            s.runUntil(s.nowMs() + 500);
            s.links.silence(entry);
            long startNumber = entry.startNumber();
            s.after(490, () -> entry.deliver(startNumber, new PoolEvent.CallerDisconnected(caller.call)));
            s.runUntil(s.nowMs() + 3_000);
            replaced += s.links.replaced;
            if (s.endpoints.stream().anyMatch(e -> !e.running.isEmpty())) {
                failures.add("seed " + seed + " replaced=" + s.links.replaced);
            }
        }
        assertTrue(replaced > 0, "no link was replaced");
        assertTrue(failures.isEmpty(), "runs that nobody waits for: " + failures);
    }

    /** As above, while a zone is isolated and has an owner of its own, at which the caller submits the job again. */
    @Test
    public void aJobSubmittedAgainInAnotherPartitionHasNoOtherRun() {
        List<String> failures = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolSimulation s = new PoolSimulation(seed, 6, 9);
            s.startAll();
            s.runUntil(18_000);
            String ownerZone = zoneOf(s.owner());
            SimulatedVm isolated = s.vms.stream()
                    .filter(v -> !zoneOf(v).equals(ownerZone))
                    .findFirst()
                    .orElseThrow();
            SimulatedVm entry = s.vms.stream()
                    .filter(v -> !v.isOwner() && !zoneOf(v).equals(zoneOf(isolated)))
                    .findFirst()
                    .orElseThrow();
            PoolJob job = PoolJobs.patientJob("job-001", 2, 5_000);
            s.cutZone(zoneOf(isolated));
            s.runUntil(s.nowMs() + 3_000);
            PoolSimulation.Caller caller = s.submitAt(entry, job);
            s.runUntil(s.nowMs() + 500);
            s.links.silence(entry);
            long startNumber = entry.startNumber();
            s.after(490, () -> entry.deliver(startNumber, new PoolEvent.CallerDisconnected(caller.call)));
            s.after(490 + 1_300, () -> s.submitAt(isolated, job));
            s.runUntil(s.nowMs() + 4_000);
            if (!s.violations.isEmpty()) {
                failures.add("seed " + seed + " replaced=" + s.links.replaced + " " + s.violations);
            }
        }
        assertTrue(failures.isEmpty(), failures.toString());
    }

    private static String zoneOf(SimulatedVm vm) {
        return vm.contact.zone();
    }
}
