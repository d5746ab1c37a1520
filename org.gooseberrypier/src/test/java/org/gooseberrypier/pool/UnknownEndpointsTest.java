package org.gooseberrypier.pool;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a new owner does not start tasks whose runs are at endpoints that have left the list. */
public class UnknownEndpointsTest {

    private static SimulatedVm other(PoolSimulation s, SimulatedVm not) {
        return s.vms.stream().filter(v -> v.alive && v != not).findFirst().orElseThrow();
    }

    private static void drain(SimulatedEndpoint e) {
        PoolEndpoint p = e.registration;
        e.registration = new PoolEndpoint(
                p.id(), p.address(), p.zone(), p.service(), p.labels(), p.milliCores(), p.memoryMb(), true);
    }

    /** The entry of an endpoint that drains also expires while the endpoint, which still serves, does not reach the store. */
    @Test
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
        drain(draining);
        s.runUntil(s.nowMs() + 700);
        draining.listed = false;
        s.runUntil(s.nowMs() + 700);
        s.kill(first);
        s.runUntil(s.nowMs() + 3_000);
        assertEquals(s.violations, List.of());
    }

    private enum Departure {
        /** The endpoint does not depart. */
        NONE,
        /** The endpoint has ended, and its machine refuses connections. */
        ENDED,
        /** The endpoint's machine does not answer. */
        SILENT
    }

    /** Returns how long after the loss of an owner a job that it had not started yet starts, in milliseconds. */
    private static long startAfterLossMs(Departure departure) {
        PoolSimulation s = new PoolSimulation(1, 6, 3);
        s.startAll();
        s.runUntil(18_000);
        SimulatedEndpoint e = s.endpoints.get(0);
        if (departure != Departure.NONE) {
            drain(e);
            s.runUntil(s.nowMs() + 700);
            e.crash();
            e.refuses = departure == Departure.ENDED;
            e.listedUntilMs = 0;
        }
        s.runUntil(20_000);
        SimulatedVm first = s.owner();
        // The owner has the job and cannot start it.
        s.endpoints.forEach(x -> s.cuts.add(first.contact.address() + "|" + x.id));
        s.runUntil(s.nowMs() + 500);
        s.submitAt(other(s, first), PoolJobs.patientJob("job-001", 1, 3_000));
        s.runUntil(s.nowMs() + 100);
        assertEquals(s.startCount, 0);
        s.kill(first);
        long lostMs = s.nowMs();
        while (s.startCount == 0 && s.nowMs() < lostMs + 10_000) {
            s.runUntil(s.nowMs() + 5);
        }
        assertEquals(s.violations, List.of());
        return s.nowMs() - lostMs;
    }

    /** Guards against a delay of each change of the owner during a release: the endpoints that leave are known to have ended. */
    @Test
    public void aNewOwnerDoesNotWaitForADrainedEndpointThatHasEnded() {
        long departedMs = startAfterLossMs(Departure.ENDED);
        long usualMs = startAfterLossMs(Departure.NONE);
        assertTrue(departedMs <= usualMs + 50, departedMs + " ms, otherwise " + usualMs);
    }

    @Test
    public void aNewOwnerWaitsForADrainedEndpointWhoseMachineIsSilent() {
        long departedMs = startAfterLossMs(Departure.SILENT);
        assertTrue(departedMs >= 1_600, departedMs + " ms");
    }

    /** Returns a VM of the owner's availability zone beside the owner, or one of another zone. */
    private static SimulatedVm besideOwner(PoolSimulation s, boolean ownersZone) {
        SimulatedVm owner = s.owner();
        return s.vms.stream()
                .filter(v -> v != owner && v.contact.zone().equals(owner.contact.zone()) == ownersZone)
                .findFirst()
                .orElseThrow();
    }

    /** The owner forgets endpoints 15 s after they have left the list; the VMs of an isolated zone go on using them. */
    @Test
    public void jobsOfAZoneThatWasIsolatedForLongWaitForTheRunsOfThatZone() {
        assertEquals(violationsAfterIsolation(false), List.of());
    }

    /** As above; the owner goes on in its zone, and the others have elected the next one. */
    @Test
    public void jobsOfAnOwnerThatWasIsolatedForLongWaitForTheRunsOfItsZone() {
        assertEquals(violationsAfterIsolation(true), List.of());
    }

    private static List<String> violationsAfterIsolation(boolean ownersZone) {
        PoolSimulation s = new PoolSimulation(1, 6, 9);
        s.startAll();
        s.runUntil(2_000);
        SimulatedVm inside = besideOwner(s, ownersZone);
        s.cutZone(inside.contact.zone());
        s.runUntil(s.nowMs() + 24_000);
        s.submitAt(inside, PoolJobs.patientJob("job-001", 2, 1_200));
        s.runUntil(s.nowMs() + 300);
        assertEquals(s.startCount, 2, "the tasks run in the zone");
        s.cuts.clear();
        s.runUntil(s.nowMs() + 6_000);
        return s.violations;
    }

    /** Guards against a delay after the usual failures: the endpoints of a zone are remembered for longer than these last. */
    @Test
    public void jobsOfAZoneThatWasIsolatedBrieflyStartOnceAllEndpointsHaveListedTheirRuns() {
        long briefMs = startAfterIsolationMs(6_000);
        assertTrue(briefMs < 1_600, briefMs + " ms");
    }

    @Test
    public void jobsOfAZoneThatWasIsolatedForLongWaitForLeasesToLapse() {
        long longMs = startAfterIsolationMs(24_000);
        assertTrue(longMs >= 1_600, longMs + " ms");
    }

    /** Returns how long after the end of its isolation a job of a zone starts that the zone's owner had not started yet. */
    private static long startAfterIsolationMs(long isolatedMs) {
        PoolSimulation s = new PoolSimulation(1, 6, 9);
        s.startAll();
        s.runUntil(18_000);
        SimulatedVm inside = besideOwner(s, false);
        s.cutZone(inside.contact.zone());
        s.runUntil(s.nowMs() + isolatedMs - 700);
        s.vms.stream()
                .filter(v -> v.contact.zone().equals(inside.contact.zone()))
                .forEach(v -> s.endpoints.forEach(e -> s.cuts.add(v.contact.address() + "|" + e.id)));
        s.runUntil(s.nowMs() + 500);
        s.submitAt(inside, PoolJobs.patientJob("job-001", 1, 1_200));
        s.runUntil(s.nowMs() + 200);
        assertEquals(s.startCount, 0);
        s.cuts.clear();
        long healedMs = s.nowMs();
        while (s.startCount == 0 && s.nowMs() < healedMs + 10_000) {
            s.runUntil(s.nowMs() + 5);
        }
        assertEquals(s.violations, List.of());
        return s.nowMs() - healedMs;
    }
}
