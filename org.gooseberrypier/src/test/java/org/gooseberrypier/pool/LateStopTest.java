package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that a job is not started again while a run of its earlier submission waits for a stop that is carried out late. */
public class LateStopTest {

    /**
     * A VM is killed, and the owner orders the stop of its run, which the endpoint does not carry out. The owner goes on
     * extending the lease of the endpoint for another run. It is killed shortly before the caller submits the job again; it
     * lasted for long, so that the next owner starts new jobs before all endpoints have answered. The answers of the
     * endpoints arrive within 10 ms of each other.
     */
    @Test
    public void aNewJobWaitsForEndpointsThatTheEarlierOwnerMayHaveOrderedToStopItsRuns() {
        List<String> broken = new ArrayList<>();
        for (int seed = 1; seed <= 6; seed++) {
            for (long killedMs = 1_200; killedMs <= 1_300; killedMs += 20) {
                PoolSimulation s = new PoolSimulation(seed, 6, 9);
                s.startAll();
                s.runUntil(18_000);
                SimulatedVm first = s.owner();
                List<SimulatedVm> others =
                        s.vms.stream().filter(v -> v != first).toList();
                s.submitAt(others.get(0), PoolJobs.patientJob("job-001", 1, 4_000));
                s.submitAt(others.get(1), PoolJobs.patientJob("job-002", 1, 4_000));
                s.runUntil(s.nowMs() + 100);
                s.lateStopProbability = 1;
                s.renewalAnswerDelayMs = 10;
                s.kill(others.get(0));
                s.after(killedMs, () -> s.kill(first));
                s.runUntil(s.nowMs() + 4_000);
                for (String v : s.violations) {
                    broken.add("seed " + seed + ", owner killed after " + killedMs + " ms: " + v);
                }
            }
        }
        assertTrue(broken.isEmpty(), broken.size() + "\n" + String.join("\n", broken));
    }
}
