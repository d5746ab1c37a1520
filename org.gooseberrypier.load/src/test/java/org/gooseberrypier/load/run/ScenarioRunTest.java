package org.gooseberrypier.load.run;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.cluster.ClusterPlan;
import org.gooseberrypier.load.workload.WorkloadShape;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ScenarioRunTest {

    private static final List<String> FIELDS = List.of(
            "tasks",
            "jobs",
            "complete",
            "failed",
            "not_run",
            "unknown",
            "started_twice",
            "partial_answers",
            "wrong_caller",
            "not_run_but_ran",
            "response_over_ideal",
            "reference_over_ideal",
            "wasted_messages_per_task",
            "coordination_messages_per_task",
            "control_bytes_per_second_per_vm");

    @Test(timeOut = 120_000)
    public void everyJobOfALightLoadIsAnsweredCompletely() throws Exception {
        WorkloadShape shape =
                WorkloadShape.builder(0.3).largeJob(false).longShare(0).build();
        Scenario scenario = new Scenario("light", true, shape, 15_000, List.of());
        ClusterPlan plan = ClusterPlan.spread(ClusterPlan.DEFAULT_ZONES, 3, 6, 4, true, "least-outstanding");
        RunReport report = new RunReport();
        new ScenarioRun(scenario, plan, 4, 1, Progress.none()).call(report);

        assertTrue(report.guarantees().holds(), report.guarantees().toString());
        assertEquals(report.outcomes(JobOutcome.Kind.COMPLETE), report.jobs());
        assertEquals(report.starts(), report.tasks());
        ObjectNode json = ReportJson.format(report);
        FIELDS.forEach(f -> assertTrue(json.has(f), f));
        Path picture = Files.createTempFile("plot", ".png");
        DistributionPlot.write("light", Map.of("least-outstanding", report), picture);
        assertTrue(Files.size(picture) > 0);
        Files.delete(picture);
    }

    @Test
    public void scenariosHaveDifferentNames() {
        assertEquals(
                Scenarios.all().stream().map(Scenario::name).distinct().count(),
                Scenarios.all().size());
    }
}
