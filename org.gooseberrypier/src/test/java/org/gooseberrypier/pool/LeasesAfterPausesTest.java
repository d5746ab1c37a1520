package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests the leases around pauses and losses of VMs, in virtual time. */
public class LeasesAfterPausesTest {

    private static PoolSimulation started(int endpoints) {
        PoolSimulation s = new PoolSimulation(1, 6, endpoints);
        s.startAll();
        s.runUntil(18_000);
        return s;
    }

    private static List<SimulatedVm> others(PoolSimulation s, SimulatedVm not) {
        return s.vms.stream().filter(v -> v != not).toList();
    }

    /**
     * An owner is cut off and frozen. A caller of its own leaves meanwhile, and submits the job again 1.3 s later at a VM of
     * the other side, which does not reach the endpoint of the run. The endpoint carries out the stop late.
     */
    @Test
    public void aRunOfAnOwnCallerThatLeftDuringAPauseIsOverWhenTheJobIsSubmittedAgain() {
        assertTrue(leaveDuringPause(400, 850).isEmpty(), String.join("\n", leaveDuringPause(400, 850)));
    }

    /** The control: without a pause the lease ends in time. */
    @Test
    public void aRunOfAnOwnCallerThatLeftWithoutAPauseIsOverWhenTheJobIsSubmittedAgain() {
        assertTrue(leaveDuringPause(0, 0).isEmpty(), String.join("\n", leaveDuringPause(0, 0)));
    }

    private static List<String> leaveDuringPause(long minFrozenMs, long maxFrozenMs) {
        List<String> broken = new ArrayList<>();
        for (long frozenMs = minFrozenMs; frozenMs <= maxFrozenMs; frozenMs += 50) {
            PoolSimulation s = started(2);
            SimulatedVm first = s.owner();
            PoolJob job = PoolJobs.patientJob("job-001", 1, 5_000);
            PoolSimulation.Caller caller = s.submitAt(first, job);
            s.submitAt(first, PoolJobs.patientJob("job-002", 1, 5_000));
            s.runUntil(s.nowMs() + 150);
            SimulatedEndpoint used = s.endpoints.get(s.endpoints.get(0).running.size() == 2 ? 0 : 1);
            s.cuts.add(first.contact.address() + "|store");
            for (SimulatedVm v : others(s, first)) {
                s.cuts.add(first.contact.address() + "|" + v.contact.address());
                s.cuts.add(v.contact.address() + "|" + used.id);
            }
            s.lateStopProbability = 1;
            if (frozenMs > 0) {
                first.freeze();
            }
            long startNumber = first.startNumber();
            s.after(10, () -> first.deliver(startNumber, new PoolEvent.CallerDisconnected(caller.call)));
            s.after(frozenMs, first::thaw);
            s.after(10 + 1_300, () -> s.submitAt(others(s, first).get(1), job));
            s.runUntil(s.nowMs() + 4_000);
            for (String v : s.violations) {
                broken.add("frozen for " + frozenMs + " ms: " + v);
            }
        }
        return broken;
    }

    /** A VM is lost, which the owner notices 500 to 900 ms later; runs of another VM's jobs at the same endpoint go on. */
    @Test
    public void theLossOfAVmDoesNotLetTheRunsOfOthersLapse() {
        List<String> broken = lapsedAfterLoss(0);
        assertTrue(broken.isEmpty(), broken.size() + " of 40\n" + String.join("\n", broken));
    }

    /** As above, when the owner notices the loss 400 to 500 ms after it. */
    @Test
    public void aLossThatIsNoticedInTimeDoesNotLetTheRunsOfOthersLapse() {
        List<String> broken = new ArrayList<>();
        for (long noticedMs = 400; noticedMs <= 500; noticedMs += 20) {
            broken.addAll(lapsedAfterLoss(noticedMs));
        }
        assertTrue(broken.isEmpty(), broken.size() + " of 240\n" + String.join("\n", broken));
    }

    private static List<String> lapsedAfterLoss(long noticedMs) {
        List<String> broken = new ArrayList<>();
        for (long atMs = 100; atMs < 500; atMs += 10) {
            PoolSimulation s = started(2);
            SimulatedVm first = s.owner();
            SimulatedVm lost = others(s, first).get(0);
            s.submitAt(lost, PoolJobs.patientJob("job-001", 1, 4_000));
            s.submitAt(others(s, first).get(1), PoolJobs.patientJob("job-002", 1, 4_000));
            s.runUntil(s.nowMs() + atMs);
            assertTrue(s.endpoints.stream().anyMatch(e -> e.running.size() == 2), "one endpoint runs both");
            for (SimulatedVm v : others(s, lost)) {
                s.cuts.add(lost.contact.address() + "|" + v.contact.address());
            }
            s.cuts.add(lost.contact.address() + "|store");
            if (noticedMs > 0) {
                long number = first.entryLinks.get(lost.contact).number;
                s.after(
                        noticedMs,
                        () -> first.deliver(first.startNumber(), new PoolEvent.EntryLinkDown(lost.contact, number)));
            }
            s.endpoints.forEach(e -> s.cuts.add(lost.contact.address() + "|" + e.id));
            s.runUntil(s.nowMs() + 3_500);
            long starts = s.vms.get(0).log.stream()
                    .filter(l -> l.contains("start of") && l.contains("job-002"))
                    .count();
            if (starts != 1) {
                broken.add("lost after " + atMs + " ms, noticed after " + noticedMs + " ms: " + starts
                        + " starts of the other job");
            }
        }
        return broken;
    }

    /** The owner is frozen for less than a lease, and no other VM takes over. */
    @Test
    public void aShortPauseOfTheOwnerDoesNotLetRunsLapse() {
        List<String> broken = new ArrayList<>();
        for (long frozenMs = 405; frozenMs <= 445; frozenMs += 20) {
            for (long atMs = 200; atMs < 500; atMs += 10) {
                PoolSimulation s = started(2);
                SimulatedVm first = s.owner();
                s.submitAt(others(s, first).get(0), PoolJobs.patientJob("job-001", 1, 4_000));
                s.runUntil(s.nowMs() + atMs);
                first.freeze();
                s.after(frozenMs, first::thaw);
                s.runUntil(s.nowMs() + 3_000);
                if (s.startCount != 1) {
                    broken.add("frozen after " + atMs + " ms for " + frozenMs + " ms: " + s.startCount
                            + " starts, owner " + (first.isOwner() ? "unchanged" : "changed"));
                }
            }
        }
        assertTrue(broken.isEmpty(), broken.size() + " of 90\n" + String.join("\n", broken));
    }
}
