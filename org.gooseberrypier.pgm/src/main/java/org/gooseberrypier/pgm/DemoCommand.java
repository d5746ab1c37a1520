package org.gooseberrypier.pgm;

import java.util.concurrent.TimeoutException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.gooseberrypier.load.cluster.ClusterPlan;
import org.gooseberrypier.load.run.Demo;
import org.gooseberrypier.load.run.DemoResult;
import org.gooseberrypier.load.run.Progress;
import org.gooseberrypier.load.run.ReportJson;
import org.gooseberrypier.load.run.ReportTable;

/** Runs the whole system in one process and checks its guarantees. */
@Parameters(commandDescription = "Run 7 entry VMs and 30 endpoints in one process and check the guarantees")
final class DemoCommand implements Command {

    private static final int VMS = 7;
    private static final int ENDPOINTS = 30;
    private static final int SLOTS = 8;
    private static final double MIN_SECONDS = 4;

    @Parameter(names = "--seconds", description = "the time in which jobs arrive, in seconds")
    private double seconds = 20;

    @Parameter(names = "--seed", description = "the seed of the arrivals")
    private long seed = 1;

    @Parameter(names = "--placement", description = "the placement policy")
    private String placement = "credits";

    @Parameter(names = "--json", description = "print one JSON object")
    private boolean json;

    @Parameter(names = "--verbose", description = "show the logs of the entry VMs")
    private boolean verbose;

    @Override
    public int call() {
        if (!(seconds >= MIN_SECONDS)) {
            throw new ParameterException("--seconds: " + seconds + " must be at least " + MIN_SECONDS);
        }
        LogVerbosity.apply(verbose);
        ClusterPlan plan = ClusterPlan.spread(ClusterPlan.DEFAULT_ZONES, VMS, ENDPOINTS, SLOTS, true, placement);
        try {
            DemoResult result =
                    new Demo(plan, seconds, seed, new Progress(System.err, System.console() != null)).call();
            print(result);
            return result.holds() ? ExitCode.OK : ExitCode.FAILED;
        } catch (TimeoutException e) {
            System.err.println("demo: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private void print(DemoResult result) {
        if (json) {
            System.out.println(ReportJson.format(result).toPrettyString());
            return;
        }
        ReportTable.printHeader(System.out);
        ReportTable.print("demo", java.util.Map.of(placement, result.report()), System.out);
        result.guarantees().forEach((text, held) -> System.out.println((held ? "held    " : "BROKEN  ") + text));
    }
}
