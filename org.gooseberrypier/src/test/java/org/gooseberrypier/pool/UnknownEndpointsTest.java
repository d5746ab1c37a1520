package org.gooseberrypier.pool;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that a new owner does not start tasks whose runs are at endpoints that have left the list. */
public class UnknownEndpointsTest {

    private static SimulatedVm other(PoolSimulation s, SimulatedVm not) {
        return s.vms.stream().filter(v -> v.alive && v != not).findFirst().orElseThrow();
    }

    /** The entry of an endpoint that drains also expires while the endpoint, which still serves, does not reach the store. */
    @Test(groups = "known-red")
    public void aNewOwnerWaitsForRunsAtADrainingEndpointThatHasLeftTheList() {
        PoolSimulation s = new PoolSimulation(1, 6, 3);
        s.startAll();
        s.runUntil(18_000);
        SimulatedVm first = s.owner();
        s.submitAt(other(s, first), PoolJobs.patientJob("job-001", 1, 3_000));
        s.runUntil(s.nowMs() + 100);
        SimulatedEndpoint draining = s.endpoints.stream()
                .filter(e -> !e.running.isEmpty())
                .findFirst()
                .orElseThrow();
        PoolEndpoint p = draining.registration;
        draining.registration = new PoolEndpoint(
                p.id(), p.address(), p.zone(), p.service(), p.labels(), p.milliCores(), p.memoryMb(), true);
        s.runUntil(s.nowMs() + 700);
        draining.listed = false;
        s.runUntil(s.nowMs() + 700);
        s.kill(first);
        s.runUntil(s.nowMs() + 3_000);
        assertEquals(s.violations, List.of());
    }

    /** The owner forgets endpoints 15 s after they have left the list; the VMs of an isolated zone go on using them. */
    @Test(groups = "known-red")
    public void jobsOfAZoneThatWasIsolatedForLongWaitForTheRunsOfThatZone() {
        PoolSimulation s = new PoolSimulation(1, 6, 9);
        s.startAll();
        s.runUntil(2_000);
        String owners = s.owner().contact.zone();
        SimulatedVm inside = s.vms.stream()
                .filter(v -> !v.contact.zone().equals(owners))
                .findFirst()
                .orElseThrow();
        s.cutZone(inside.contact.zone());
        s.runUntil(s.nowMs() + 24_000);
        s.submitAt(inside, PoolJobs.patientJob("job-001", 2, 1_200));
        s.runUntil(s.nowMs() + 300);
        s.cuts.clear();
        s.runUntil(s.nowMs() + 6_000);
        assertEquals(s.violations, List.of());
    }
}
