package org.gooseberrypier.load.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gooseberrypier.load.cluster.ClusterPlan;
import org.gooseberrypier.load.cluster.LoopbackCluster;
import org.gooseberrypier.load.workload.WorkloadShape;
import org.gooseberrypier.standin.endpoint.FailureMode;

/** The scenarios of the benchmark. */
public final class Scenarios {

    private static final long ATTEMPT_TIMEOUT_MS = 15_000;
    private static final long SHORT_ATTEMPT_TIMEOUT_MS = 3_000;
    private static final long BURST_DEADLINE_MS = 5_000;
    private static final double STEADY_LOAD = 0.8;
    private static final double FAULT_LOAD = 0.7;
    private static final double HALF = 0.5;
    private static final int DECLARED_ERROR_FACTOR = 20;
    private static final int BURST_LOAD = 3;

    private Scenarios() {}

    /**
     * Returns all scenarios.
     *
     * @return the scenarios in the order in which {@code --scenario all} runs them
     */
    public static List<Scenario> all() {
        List<Scenario> list = new ArrayList<>();
        list.add(steady("steady-50", false, 0.5));
        list.add(steady("steady-80", false, STEADY_LOAD));
        list.add(steady("steady-95", false, 0.95));
        list.add(steady("unequal", true, STEADY_LOAD));
        list.add(scenario(
                "unequal-short",
                true,
                WorkloadShape.builder(STEADY_LOAD).longShare(0).largeJob(false)));
        list.add(burst());
        list.add(failureMode("stragglers", FailureMode.STRAGGLE, 2));
        list.add(failureMode("failing", FailureMode.FAIL, 1));
        list.add(failureMode("silent", FailureMode.SILENT, 1));
        list.add(scenario(
                "wrong-declared", true, WorkloadShape.builder(STEADY_LOAD).declaredError(DECLARED_ERROR_FACTOR)));
        list.add(scenario("cancel-wave", true, WorkloadShape.builder(FAULT_LOAD).cancelWave(HALF)));
        list.add(vmKilled());
        list.add(zoneCut());
        return list;
    }

    /**
     * Finds a scenario.
     *
     * @param name its name
     * @return the scenario, if there is one with this name
     */
    public static Optional<Scenario> find(String name) {
        return all().stream().filter(s -> s.name().equals(name)).findFirst();
    }

    private static Scenario steady(String name, boolean unequal, double load) {
        return scenario(name, unequal, WorkloadShape.builder(load));
    }

    private static Scenario scenario(String name, boolean unequal, WorkloadShape.Builder shape) {
        return new Scenario(name, unequal, shape.build(), ATTEMPT_TIMEOUT_MS, List.of());
    }

    private static Scenario burst() {
        WorkloadShape shape = WorkloadShape.builder(0.6)
                .burst(BURST_LOAD)
                .longShare(0)
                .largeJob(false)
                .deadlineMs(BURST_DEADLINE_MS)
                .build();
        return new Scenario("burst", true, shape, ATTEMPT_TIMEOUT_MS, List.of());
    }

    private static Scenario failureMode(String name, FailureMode mode, int endpoints) {
        WorkloadShape shape =
                WorkloadShape.builder(FAULT_LOAD).repeatableShare(HALF).build();
        Fault fault = new Fault(0, cluster -> {
            for (int i = 0; i < endpoints; i++) {
                cluster.setMode(i, mode);
            }
        });
        return new Scenario(name, true, shape, ATTEMPT_TIMEOUT_MS, List.of(fault));
    }

    private static Scenario vmKilled() {
        WorkloadShape shape = WorkloadShape.builder(FAULT_LOAD).keyedShare(HALF).build();
        return new Scenario(
                "vm-killed",
                true,
                shape,
                SHORT_ATTEMPT_TIMEOUT_MS,
                List.of(new Fault(0.4, Scenarios::kill), new Fault(0.6, Scenarios::replace)));
    }

    private static void kill(LoopbackCluster cluster) {
        cluster.kill(cluster.vmNames().get(0));
    }

    private static void replace(LoopbackCluster cluster) {
        String zone = ClusterPlan.DEFAULT_ZONES.get(0);
        cluster.addVm(zone + "-replacement", zone);
        cluster.publish("operator-1", "replace a VM");
    }

    private static Scenario zoneCut() {
        String zone = ClusterPlan.DEFAULT_ZONES.get(0);
        WorkloadShape shape = WorkloadShape.builder(HALF).keyedShare(HALF).build();
        return new Scenario(
                "zone-cut",
                true,
                shape,
                SHORT_ATTEMPT_TIMEOUT_MS,
                List.of(
                        new Fault(0.3, c -> c.setPartitioned(zone, true)),
                        new Fault(0.7, c -> c.setPartitioned(zone, false))));
    }
}
