package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.load.cluster.ClusterPlan;
import org.gooseberrypier.load.run.Bench;
import org.gooseberrypier.load.run.DistributionPlot;
import org.gooseberrypier.load.run.Progress;
import org.gooseberrypier.load.run.ReportJson;
import org.gooseberrypier.load.run.ReportTable;
import org.gooseberrypier.load.run.RunReport;
import org.gooseberrypier.load.run.Scenario;
import org.gooseberrypier.load.run.Scenarios;

/** Compares placement policies under generated load and injected faults. */
@Parameters(commandDescription = "Compare placement policies under load and faults, in one process")
final class BenchCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Parameter(names = "--policy", description = "the placement policies, separated by commas")
    private List<String> policies = List.of("credits");

    @Parameter(names = "--scenario", description = "the scenarios, separated by commas; all runs every one")
    private List<String> scenarios = List.of("steady-80");

    @Parameter(names = "--seconds", description = "the time in which jobs arrive in each run, in seconds")
    private double seconds = 20;

    @Parameter(names = "--rounds", description = "the number of rounds; each round runs every policy once")
    private int rounds = 1;

    @Parameter(names = "--seed", description = "the seed of the arrivals")
    private long seed = 1;

    @Parameter(names = "--vms", description = "the number of entry VMs")
    private int vms = 7;

    @Parameter(names = "--endpoints", description = "the number of endpoints, with 8 slots each")
    private int endpoints = 30;

    @Parameter(names = "--zones", description = "the availability zones, separated by commas")
    private List<String> zones = ClusterPlan.DEFAULT_ZONES;

    @Parameter(names = "--json", description = "print one JSON object instead of the table")
    private boolean json;

    @Parameter(
            names = "--plot",
            converter = PathConverter.class,
            description = "write the distributions of the last scenario to this PNG file")
    private Path plot;

    @Parameter(names = "--verbose", description = "show the logs of the entry VMs")
    private boolean verbose;

    @Override
    public int call() {
        check();
        LogVerbosity.apply(verbose);
        Bench bench = Bench.builder()
                .policies(policies)
                .zones(zones)
                .vms(vms)
                .endpoints(endpoints)
                .rounds(rounds)
                .seconds(seconds)
                .seed(seed)
                .progress(new Progress(System.err, System.console() != null))
                .build();
        try {
            return run(bench);
        } catch (TimeoutException | IOException e) {
            System.err.println("bench: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private int run(Bench bench) throws TimeoutException, InterruptedException, IOException {
        Map<String, Map<String, RunReport>> all = new LinkedHashMap<>();
        if (!json) {
            ReportTable.printHeader(System.out);
        }
        for (Scenario s : selectedScenarios()) {
            all.put(s.name(), bench.call(s));
            if (!json) {
                ReportTable.print(s.name(), all.get(s.name()), System.out);
            }
            if (plot != null) {
                DistributionPlot.write(s.name(), all.get(s.name()), plot);
            }
        }
        if (json) {
            printJson(all);
        }
        boolean guaranteesHold = all.values().stream()
                .flatMap(m -> m.values().stream())
                .allMatch(r -> r.guarantees().holds());
        return guaranteesHold ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void printJson(Map<String, Map<String, RunReport>> all) throws IOException {
        ObjectNode json = MAPPER.createObjectNode();
        all.forEach((scenario, reports) -> {
            ObjectNode node = json.putObject(scenario);
            reports.forEach((policy, report) -> node.set(policy, ReportJson.format(report)));
        });
        System.out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(json));
    }

    private List<Scenario> selectedScenarios() {
        if (scenarios.equals(List.of("all"))) {
            return Scenarios.all();
        }
        List<Scenario> list = new ArrayList<>();
        for (String name : scenarios) {
            list.add(Scenarios.find(name)
                    .orElseThrow(() -> new ParameterException("--scenario: " + name
                            + " is not one of "
                            + Scenarios.all().stream().map(Scenario::name).toList())));
        }
        return list;
    }

    private void check() {
        selectedScenarios();
        if (vms < 1 || endpoints < 1 || rounds < 1 || !(seconds > 0)) {
            throw new ParameterException("--vms: " + vms + ", --endpoints: " + endpoints + ", --rounds: " + rounds
                    + " and --seconds: " + seconds + " must be above 0");
        }
    }
}
