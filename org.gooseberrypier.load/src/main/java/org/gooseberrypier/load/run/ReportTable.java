package org.gooseberrypier.load.run;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;

import org.gooseberrypier.load.client.JobOutcome;

/** Prints reports side by side. */
public final class ReportTable {

    private static final String HEAD = "%-16s %-18s %7s %8s %7s %7s %7s %7s %7s %7s %8s %8s %8s %8s%n";
    private static final String ROW = "%-16s %-18s %7d %8d %7d %7d %7d %7d %7.3f %7.2f %8.3f %8.2f %8.4f %8d%n";
    private static final double P99 = 0.99;

    private ReportTable() {}

    /**
     * Prints the heading.
     *
     * @param out where to
     */
    public static void printHeader(PrintStream out) {
        out.printf(
                HEAD,
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
     * Prints a line for each policy.
     *
     * @param scenario the scenario
     * @param reports one report for each policy
     * @param out where to
     */
    public static void print(String scenario, Map<String, RunReport> reports, PrintStream out) {
        reports.forEach((policy, r) -> out.printf(
                Locale.ROOT,
                ROW,
                scenario,
                policy,
                r.jobs(),
                r.tasks(),
                r.outcomes(JobOutcome.Kind.FAILED),
                r.outcomes(JobOutcome.Kind.NOT_RUN),
                r.outcomes(JobOutcome.Kind.UNKNOWN),
                broken(r),
                r.responseOverIdeal().mean(),
                r.responseOverIdeal().quantile(P99),
                r.referenceOverIdeal().mean(),
                r.referenceOverIdeal().quantile(P99),
                (double) r.waste().sum() / Math.max(1, r.tasks()),
                r.refusalMs().getMaxValue()));
    }

    private static long broken(RunReport r) {
        var p = r.guarantees();
        return p.startedTwice() + p.partialAnswers() + p.wrongCaller() + p.notRunButRan();
    }
}
