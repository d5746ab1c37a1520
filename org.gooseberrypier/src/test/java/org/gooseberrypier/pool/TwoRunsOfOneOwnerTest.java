package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Replays ways by which one owner may run a task at two endpoints at the same time, in virtual time. */
public class TwoRunsOfOneOwnerTest {

    private static SimulatedVm other(PoolSimulation s, SimulatedVm not) {
        return s.vms.stream().filter(v -> v.alive && v != not).findFirst().orElseThrow();
    }

    /**
     * An owner is cut off from the store and from the other VMs, but not from the endpoints. The next owner adopts a run at
     * an endpoint and thereby extends the lease of all runs there, before it stops those that nobody hands over. The first
     * owner, which that endpoint fences, must not take its own run there for ended when its own lease has lapsed, and start
     * the task at an endpoint that the next owner does not reach.
     */
    @Test
    public void aFencedEndpointMayStillRunWhatTheLeaseOfThisOwnerNoLongerCovers() {
        List<String> broken = new ArrayList<>();
        for (long cutMs = 50; cutMs < 350; cutMs += 20) {
            PoolSimulation s = new PoolSimulation(1, 6, 2);
            s.startAll();
            s.runUntil(18_000);
            SimulatedVm first = s.owner();
            s.submitAt(first, PoolJobs.patientJob("job-001", 1, 2_600));
            s.submitAt(other(s, first), PoolJobs.patientJob("job-002", 1, 3_000));
            s.runUntil(s.nowMs() + cutMs);
            SimulatedEndpoint shared = cutOff(s, first);
            s.vms.stream()
                    .filter(v -> v != first)
                    .forEach(v -> s.lostAnswers.add(v.contact.address() + "|" + shared.id));
            // Calls of the next owner reach the shared endpoint, and the answers to the first ones are lost.
            s.after(1_200, s.lostAnswers::clear);
            s.runUntil(s.nowMs() + 4_000);
            for (String v : s.violations) {
                broken.add("cut after " + cutMs + " ms: " + v);
            }
        }
        assertTrue(broken.isEmpty(), String.join("\n", broken));
    }

    /**
     * As before, but the calls of the next owner are answered, and the endpoint carries out its stops late.
     */
    @Test
    public void aFencedEndpointMayCarryOutTheStopsOfTheNextOwnerLate() {
        List<String> broken = new ArrayList<>();
        for (long cutMs = 50; cutMs < 350; cutMs += 20) {
            PoolSimulation s = new PoolSimulation(1, 6, 2);
            s.startAll();
            s.runUntil(18_000);
            SimulatedVm first = s.owner();
            s.submitAt(first, PoolJobs.patientJob("job-001", 1, 2_600));
            s.submitAt(other(s, first), PoolJobs.patientJob("job-002", 1, 3_000));
            s.runUntil(s.nowMs() + cutMs);
            cutOff(s, first);
            s.lateStopProbability = 1;
            s.runUntil(s.nowMs() + 4_000);
            for (String v : s.violations) {
                broken.add("cut after " + cutMs + " ms: " + v);
            }
        }
        assertTrue(broken.isEmpty(), String.join("\n", broken));
    }

    /** As before, but the owner was frozen meanwhile, and resumes while the store turns it away. */
    @Test
    public void anOwnerThatWasFrozenDoesNotTakeItsLeaseForTheOnlyOne() {
        List<String> broken = new ArrayList<>();
        for (long frozenMs = 500; frozenMs < 2_000; frozenMs += 100) {
            PoolSimulation s = new PoolSimulation(1, 6, 2);
            s.startAll();
            s.runUntil(18_000);
            SimulatedVm first = s.owner();
            s.submitAt(first, PoolJobs.patientJob("job-001", 1, 3_600));
            s.submitAt(other(s, first), PoolJobs.patientJob("job-002", 1, 4_000));
            s.runUntil(s.nowMs() + 100);
            cutOff(s, first);
            s.cuts.removeIf(c -> c.startsWith(first.contact.address() + "|vm-"));
            s.lateStopProbability = 1;
            first.freeze();
            s.after(frozenMs, first::thaw);
            s.runUntil(s.nowMs() + 5_000);
            for (String v : s.violations) {
                broken.add("frozen for " + frozenMs + " ms: " + v);
            }
        }
        assertTrue(broken.isEmpty(), String.join("\n", broken));
    }

    /** Cuts a VM off from the store and the other VMs, and these from the endpoint that runs nothing. */
    private static SimulatedEndpoint cutOff(PoolSimulation s, SimulatedVm first) {
        SimulatedEndpoint shared = s.endpoints.get(s.endpoints.get(0).running.size() == 2 ? 0 : 1);
        SimulatedEndpoint unreached = s.endpoints.get(shared == s.endpoints.get(0) ? 1 : 0);
        assertEquals(shared.running.size(), 2);
        s.cuts.add(first.contact.address() + "|store");
        for (SimulatedVm v : s.vms) {
            if (v != first) {
                s.cuts.add(first.contact.address() + "|" + v.contact.address());
                s.cuts.add(v.contact.address() + "|" + unreached.id);
            }
        }
        return shared;
    }
}
