package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.gooseberrypier.load.pool.ExperimentReport;
import org.gooseberrypier.load.pool.ExperimentResult;
import org.gooseberrypier.load.pool.PoolExperiment;
import org.gooseberrypier.load.pool.PoolLoad;
import org.gooseberrypier.pool.SchedulingPolicy;

/** Compares rules of waiting and refusal under emulated load, in virtual time. */
@Parameters(commandDescription = "Compare rules of the pool under load, against what perfect knowledge would earn")
final class ExperimentCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Parameter(names = "--load", description = "the loads, with commas between them; all plays every one")
    private List<String> loads = List.of("all");

    @Parameter(
            names = "--order",
            description = "the orders of waiting jobs, with commas between them; all plays every one")
    private List<String> orders = List.of("least-demanding-queue");

    @Parameter(names = "--drop-late", description = "also play with dropping late jobs under too much load")
    private boolean dropLate;

    @Parameter(names = "--wait", description = "also play without refusing at once")
    private boolean waits;

    @Parameter(names = "--endpoints", description = "how many endpoints, two thirds of them fast")
    private int endpoints = 33;

    @Parameter(names = "--seconds", description = "how long jobs arrive, in virtual time")
    private double seconds = 30;

    @Parameter(names = "--seed", description = "the seed of the arrivals")
    private long seed = 1;

    @Parameter(names = "--json", description = "print one JSON object instead of the table")
    private boolean json;

    @Parameter(names = "--plot", converter = PathConverter.class, description = "draw the shares into this PNG file")
    private Path plot;

    @Override
    public int call() {
        List<PoolLoad> chosen = chosenLoads();
        Map<String, SchedulingPolicy> rules = chosenRules();
        if (endpoints < 1 || !(seconds > 0)) {
            throw new ParameterException(
                    "--endpoints: " + endpoints + " and --seconds: " + seconds + " must be above 0");
        }
        try {
            run(chosen, rules);
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println("experiment: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private void run(List<PoolLoad> chosen, Map<String, SchedulingPolicy> rules) throws IOException {
        Map<String, Map<String, ExperimentResult>> all = new LinkedHashMap<>();
        if (!json) {
            ExperimentReport.printHeader(System.out);
        }
        for (PoolLoad l : chosen) {
            Map<String, ExperimentResult> results = new LinkedHashMap<>();
            rules.forEach((name, r) -> results.put(name, play(l, r)));
            all.put(l.name(), results);
            if (!json) {
                ExperimentReport.print(l, results, System.out);
            }
        }
        if (json) {
            System.out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(all));
        }
        if (plot != null) {
            ExperimentReport.plot(all, plot);
        }
    }

    private ExperimentResult play(PoolLoad load, SchedulingPolicy rules) {
        return PoolExperiment.builder()
                .load(load)
                .policy(rules)
                .endpoints(endpoints)
                .seconds(seconds)
                .seed(seed)
                .call();
    }

    private List<PoolLoad> chosenLoads() {
        if (loads.equals(List.of("all"))) {
            return PoolLoad.ALL;
        }
        List<PoolLoad> list = new ArrayList<>();
        for (String name : loads) {
            list.add(PoolLoad.ALL.stream()
                    .filter(l -> l.name().equals(name))
                    .findFirst()
                    .orElseThrow(() -> new ParameterException("--load: " + name + " is not one of "
                            + PoolLoad.ALL.stream().map(PoolLoad::name).toList())));
        }
        return list;
    }

    private Map<String, SchedulingPolicy> chosenRules() {
        Map<String, SchedulingPolicy> rules = new LinkedHashMap<>();
        for (SchedulingPolicy.Order o : SchedulingPolicy.Order.values()) {
            String name = o.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (!orders.contains(name) && !orders.equals(List.of("all"))) {
                continue;
            }
            rules.put(name, new SchedulingPolicy(o, true, false));
            if (dropLate) {
                rules.put(name + "+drop", new SchedulingPolicy(o, true, true));
            }
            if (waits) {
                rules.put(name + "+wait", new SchedulingPolicy(o, false, false));
            }
        }
        if (rules.isEmpty()) {
            throw new ParameterException(
                    "--order: " + orders + " names none of " + List.of(SchedulingPolicy.Order.values()));
        }
        return rules;
    }
}
