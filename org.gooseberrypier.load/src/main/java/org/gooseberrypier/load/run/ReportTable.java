package org.gooseberrypier.load.run;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;

import org.gooseberrypier.load.client.JobOutcome;

/** Prints reports as a table with one row for each placement policy. */
public final class ReportTable {

    private static final String HEADER_FORMAT = "%-16s %-18s %7s %8s %7s %7s %7s %7s %7s %7s %8s %8s %8s %8s%n";
    private static final String ROW_FORMAT = "%-16s %-18s %7d %8d %7d %7d %7d %7d %7.3f %7.2f %8.3f %8.2f %8.4f %8d%n";
    private static final double P99 = 0.99;

    private ReportTable() {}

    /**
     * Prints the header of the table.
     *
     * @param out the stream to print to
     */
    public static void printHeader(PrintStream out) {
        out.printf(
                HEADER_FORMAT,
                "scenario",
                "policy",
                "jobs",
                "tasks",
                "failed",
                "notrun",
                "unknown",
                "broken",
                "mean",
                "p99",
                "ref.mean",
                "ref.p99",
                "wasted/t",
                "refus.ms");
    }

    /**
     * Prints one row for each policy.
     *
     * @param scenario the name of the scenario
     * @param reports one report for each policy
     * @param out the stream to print to
     */
    public static void print(String scenario, Map<String, RunReport> reports, PrintStream out) {
        reports.forEach((policy, r) -> out.printf(
                Locale.ROOT,
                ROW_FORMAT,
                scenario,
                policy,
                r.jobs(),
                r.tasks(),
                r.outcomes(JobOutcome.Kind.FAILED),
                r.outcomes(JobOutcome.Kind.NOT_RUN),
                r.outcomes(JobOutcome.Kind.UNKNOWN),
                violations(r),
                r.responseOverIdeal().mean(),
                r.responseOverIdeal().quantile(P99),
                r.referenceOverIdeal().mean(),
                r.referenceOverIdeal().quantile(P99),
                (double) r.waste().sum() / Math.max(1, r.tasks()),
                r.refusalMs().getMaxValue()));
    }

    private static long violations(RunReport r) {
        var p = r.guarantees();
        return p.startedTwice() + p.partialAnswers() + p.wrongCaller() + p.notRunButRan();
    }
}
