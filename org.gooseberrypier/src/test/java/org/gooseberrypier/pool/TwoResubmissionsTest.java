package org.gooseberrypier.pool;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that each VM which hands over a job again while its runs are being stopped learns how it ended. */
public class TwoResubmissionsTest {

    @Test
    public void bothVmsThatForwardAJobThatIsEndingAreAnswered() {
        PoolSimulation s = new PoolSimulation(1, 6, 2);
        s.startAll();
        s.runUntil(18_000);
        SimulatedVm first =
                s.vms.stream().filter(SimulatedVm::isOwner).findFirst().orElseThrow();
        List<SimulatedVm> others = s.vms.stream().filter(v -> v != first).toList();
        PoolJob job = PoolJobs.patientJob("job-001", 1, 3_000);
        SimulatedVm before = others.get(0);
        PoolSimulation.Caller caller = s.submitAt(before, job);
        s.runUntil(s.nowMs() + 100);
        s.lateStopProbability = 1;
        before.deliver(before.startNumber(), new PoolEvent.CallerDisconnected(caller.call));
        s.runUntil(s.nowMs() + 100);
        for (SimulatedVm v : others.subList(1, 3)) {
            v.deliver(
                    v.startNumber(),
                    new PoolEvent.JobSubmitted(1_000_000 + v.index, job, PoolEvent.JobSubmitted.UNLIMITED));
        }
        s.lateStopProbability = 0;
        s.runUntil(s.nowMs() + 12_000);
        for (SimulatedVm v : others.subList(1, 3)) {
            assertTrue(
                    v.log.stream().anyMatch(l -> l.contains("event=job_answered job=job-001")),
                    "12 s later the caller of vm-" + v.index + " has no answer; " + s.startCount + " starts");
        }
    }
}
