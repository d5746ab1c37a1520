package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.VmSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class CreditsPolicyTest {

    private static final int VMS = 7;
    private static final int ENDPOINTS = 30;
    private static final int SLOTS = 8;
    private static final int ZONES = 3;

    static CoreSimulation simulation(String policy, long seed) {
        return simulation(policy, seed, VMS);
    }

    private static CoreSimulation simulation(String policy, long seed, int vmCount) {
        List<VmSpec> vms = new ArrayList<>();
        for (int i = 0; i < vmCount; i++) {
            vms.add(new VmSpec(new VmId("vm-" + i), CoreSimulation.zone(i % ZONES), "127.0.1.2:" + (1_000 + i), false));
        }
        CoreSimulation l = new CoreSimulation(policy, seed, vms);
        l.publishTicket(endpoints(SLOTS, Math.min(ZONES, vmCount)));
        int i = 0;
        for (CoreSimulation.FakeEndpoint e : l.endpoints.values()) {
            e.slowdown = 0.7 + 0.6 * (i++ % 10) / 9;
        }
        return l;
    }

    static List<EndpointSpec> endpoints(int slots, int zones) {
        List<EndpointSpec> list = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            list.add(new EndpointSpec(
                    new EndpointId("e-" + i),
                    CoreSimulation.zone(i % zones),
                    "127.0.1.1:" + (1_000 + i),
                    Set.of(Fixture.WORK),
                    slots,
                    64,
                    Optional.empty(),
                    false));
        }
        return list;
    }

    /** Submits jobs of 1 to 20 tasks of 50 ms to 1 s as a Poisson process. */
    static void submitLoad(CoreSimulation l, double utilization, long durationMs) {
        submitLoad(l, utilization, durationMs, 60_000);
    }

    /** Submits jobs as {@link #submitLoad(CoreSimulation, double, long)} does, with the given deadline. */
    static void submitLoad(CoreSimulation l, double utilization, long durationMs, long deadlineMs) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(99);
        double tasksPerMs = utilization * ENDPOINTS * SLOTS / 525;
        double atMs = 0;
        while (atMs < durationMs) {
            atMs -= Math.log(1 - random.nextDouble()) * 10.5 / tasksPerMs;
            VmId vm = new VmId("vm-" + random.nextInt(l.cores.size()));
            l.schedule((long) atMs, () -> l.submit(vm, job(random, l.nowMs, deadlineMs)));
        }
    }

    private static Submission job(UniformRandomProvider random, long nowMs, long deadlineMs) {
        List<TaskSpec> tasks = new ArrayList<>();
        int n = 1 + random.nextInt(20);
        for (int i = 0; i < n; i++) {
            tasks.add(new TaskSpec(Long.toString(nowMs), Payload.EMPTY, 50 + random.nextInt(951), Resources.NONE));
        }
        return new Submission(Fixture.TEAM, Fixture.WORK, deadlineMs, false, Optional.empty(), tasks);
    }

    @DataProvider
    public Object[][] utilizations() {
        return new Object[][] {{0.5, 0.4}, {0.8, 1.0}};
    }

    @Test(dataProvider = "utilizations")
    public void steadyLoadCausesNoRefusalAndFewMessages(double utilization, double messagesPerTask) {
        CoreSimulation l = simulation(PlacementPolicies.CREDITS, 1);
        l.run(3_000);
        submitLoad(l, utilization, 20_000);
        l.run(30_000);
        assertEquals(l.refusedByEndpoints, 0);
        assertTrue(
                l.placementMessages < messagesPerTask * l.startsByTask.size(),
                l.placementMessages + " messages for " + l.startsByTask.size() + " tasks");
        assertTrue(l.startsByTask.values().stream().allMatch(n -> n == 1));
        assertEquals(l.count(Counter.TASKS_SUCCEEDED), l.startsByTask.size());
    }

    @Test
    public void creditsOfDeadVmAreReclaimed() {
        CoreSimulation l = simulation(PlacementPolicies.CREDITS, 2);
        l.run(3_000);
        submitLoad(l, 0.8, 5_000);
        l.run(2_500);
        l.kill(new VmId("vm-0"));
        l.run(30_000);
        l.submit(new VmId("vm-1"), wide(240));
        l.run(20);
        int running = l.endpoints.values().stream().mapToInt(e -> e.running).sum();
        assertEquals(running, ENDPOINTS * SLOTS);
    }

    @Test
    public void singleVmCanUseAllSlotsOfAllZones() {
        CoreSimulation l = simulation(PlacementPolicies.CREDITS, 3);
        l.run(3_000);
        l.submit(new VmId("vm-3"), wide(240));
        l.run(20);
        int running = l.endpoints.values().stream().mapToInt(e -> e.running).sum();
        assertEquals(running, ENDPOINTS * SLOTS);
        assertEquals(l.refusedByEndpoints, 0);
    }

    @Test
    public void slotsAreUsableAgainAfterMessageLoss() {
        CoreSimulation l = simulation(PlacementPolicies.CREDITS, 4);
        l.run(3_000);
        l.lossProbability = 0.3;
        submitLoad(l, 0.7, 10_000);
        l.run(20_000);
        l.lossProbability = 0;
        l.run(12_000);
        l.submit(new VmId("vm-3"), wide(240));
        l.run(100);
        int running = l.endpoints.values().stream().mapToInt(e -> e.running).sum();
        assertEquals(running, ENDPOINTS * SLOTS);
    }

    @Test
    public void isolatedVmUsesItsStaticShare() {
        CoreSimulation l = simulation(PlacementPolicies.CREDITS, 5);
        l.submit(new VmId("vm-3"), wide(240));
        l.run(0);
        long started = l.cores.get(new VmId("vm-3")).board().counters().get(Counter.TASKS_STARTED);
        assertTrue(started >= ENDPOINTS && started <= 2 * ENDPOINTS, "tasks started: " + started);
    }

    @Test
    public void slotReductionByTicketAppliesOnAllVms() {
        CoreSimulation l = simulation(PlacementPolicies.CREDITS, 6);
        l.run(3_000);
        submitLoad(l, 0.9, 8_000);
        l.run(4_000);
        l.publishTicket(endpoints(SLOTS / 2, ZONES));
        l.run(4_000);
        int before = l.refusedByEndpoints;
        l.run(10_000);
        assertEquals(l.refusedByEndpoints, before);
    }

    @Test
    public void busyVmDoesNotStarveAnother() {
        CoreSimulation l = simulation(PlacementPolicies.CREDITS, 7);
        l.run(3_000);
        for (int i = 0; i < 10; i++) {
            l.submit(new VmId("vm-3"), wide(490));
        }
        l.run(2_000);
        long call = l.submit(new VmId("vm-4"), wide(10));
        l.run(4_000);
        assertTrue(l.answers.containsKey(call));
    }

    private static Submission wide(int n) {
        List<TaskSpec> tasks = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            tasks.add(new TaskSpec("0", Payload.EMPTY, 1_000, Resources.NONE));
        }
        return new Submission(Fixture.TEAM, Fixture.WORK, 60_000, false, Optional.empty(), tasks);
    }

    /** Prints one line of results for each policy and utilization; run manually, not as a test. */
    public static void main(String[] args) {
        for (double u : new double[] {0.5, 0.8, 0.95}) {
            print("one-vm", u, simulation(PlacementPolicies.CREDITS, 1, 1));
            for (String p : args) {
                print(p, u, simulation(p, 1, VMS));
            }
        }
    }

    private static void print(String name, double utilization, CoreSimulation l) {
        l.run(3_000);
        submitLoad(l, utilization, 60_000);
        l.run(80_000);
        System.out.printf(
                "%.2f %-18s mean %.3f p99 %.2f refused/task %.3f messages/task %.3f tasks %d %s%n",
                utilization,
                name,
                l.meanSlowdown(),
                l.slowdownQuantile(0.99),
                (double) l.refusedByEndpoints / l.startsByTask.size(),
                (double) l.placementMessages / l.startsByTask.size(),
                l.startsByTask.size(),
                l.messagesByKind);
    }
}
