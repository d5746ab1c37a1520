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

/** Compares scheduling policies of the pool under emulated load, in virtual time. */
@Parameters(
        commandDescription = "Compare scheduling policies under emulated load with what perfect knowledge would earn")
final class ExperimentCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Parameter(names = "--load", description = "the loads, separated by commas; all runs every one")
    private List<String> loads = List.of("all");

    @Parameter(names = "--order", description = "the orders of waiting jobs, separated by commas; all runs every one")
    private List<String> orders = List.of("least-demanding-queue");

    @Parameter(names = "--drop-late", description = "also run each order with late jobs dropped under overload")
    private boolean dropLate;

    @Parameter(names = "--wait", description = "also run each order without refusals on arrival")
    private boolean withoutRefusal;

    @Parameter(names = "--endpoints", description = "the number of endpoints; two thirds of them are fast")
    private int endpoints = 33;

    @Parameter(names = "--seconds", description = "the time in which jobs arrive, in seconds of virtual time")
    private double seconds = 30;

    @Parameter(names = "--seed", description = "the seed of the arrivals")
    private long seed = 1;

    @Parameter(names = "--json", description = "print one JSON object instead of the table")
    private boolean json;

    @Parameter(
            names = "--plot",
            converter = PathConverter.class,
            description = "draw the earned shares into this PNG file")
    private Path plot;

    @Override
    public int call() {
        List<PoolLoad> selectedLoads = selectLoads();
        Map<String, SchedulingPolicy> policies = selectPolicies();
        if (endpoints < 1 || !(seconds > 0)) {
            throw new ParameterException(
                    "--endpoints: " + endpoints + " and --seconds: " + seconds + " must be above 0");
        }
        try {
            run(selectedLoads, policies);
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println("experiment: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private void run(List<PoolLoad> selectedLoads, Map<String, SchedulingPolicy> policies) throws IOException {
        Map<String, Map<String, ExperimentResult>> all = new LinkedHashMap<>();
        if (!json) {
            ExperimentReport.printHeader(System.out);
        }
        for (PoolLoad l : selectedLoads) {
            Map<String, ExperimentResult> results = new LinkedHashMap<>();
            policies.forEach((name, r) -> results.put(name, runOne(l, r)));
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

    private ExperimentResult runOne(PoolLoad load, SchedulingPolicy policy) {
        return PoolExperiment.builder()
                .load(load)
                .policy(policy)
                .endpoints(endpoints)
                .seconds(seconds)
                .seed(seed)
                .call();
    }

    private List<PoolLoad> selectLoads() {
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

    private Map<String, SchedulingPolicy> selectPolicies() {
        Map<String, SchedulingPolicy> policies = new LinkedHashMap<>();
        for (SchedulingPolicy.Order o : SchedulingPolicy.Order.values()) {
            String name = o.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (!orders.contains(name) && !orders.equals(List.of("all"))) {
                continue;
            }
            policies.put(name, new SchedulingPolicy(o, true, false));
            if (dropLate) {
                policies.put(name + "+drop", new SchedulingPolicy(o, true, true));
            }
            if (withoutRefusal) {
                policies.put(name + "+wait", new SchedulingPolicy(o, false, false));
            }
        }
        if (policies.isEmpty()) {
            throw new ParameterException(
                    "--order: " + orders + " names none of " + List.of(SchedulingPolicy.Order.values()));
        }
        return policies;
    }
}
