package org.gooseberrypier.load.pool;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;

/** Prints the results of experiments as a table and draws them as a chart. */
public final class ExperimentReport {

    private static final String HEADER_FORMAT = "%-14s %-28s %6s %7s %7s %7s %7s %8s %8s %7s  %s%n";
    private static final String ROW_FORMAT = "%-14s %-28s %6d %7.3f %7.3f %7.3f %7.3f %8d %8d %7d  %s%n";
    private static final int WIDTH_PX = 1_200;
    private static final int HEIGHT_PX = 700;

    private ExperimentReport() {}

    /**
     * Prints the header of the table.
     *
     * @param out the stream to print to
     */
    public static void printHeader(PrintStream out) {
        out.printf(
                HEADER_FORMAT,
                "load",
                "rules",
                "jobs",
                "earned",
                "of ref",
                "window",
                "queue",
                "at once",
                "late",
                "wasted",
                "lost");
    }

    /**
     * Prints one row for each scheduling policy.
     *
     * @param load the load
     * @param results the results by the name of the policy
     * @param out the stream to print to
     */
    public static void print(PoolLoad load, Map<String, ExperimentResult> results, PrintStream out) {
        results.forEach((policy, r) -> out.printf(
                Locale.ROOT,
                ROW_FORMAT,
                load.name(),
                policy,
                r.jobs(),
                r.earned(),
                r.shareOfReference(),
                r.worstWindow(),
                r.worstQueueShare(),
                r.refusedAtOnce(),
                r.refusedLate(),
                r.wastedStarts(),
                losses(r)));
    }

    private static String losses(ExperimentResult result) {
        StringBuilder text = new StringBuilder();
        result.lost().forEach((reason, share) -> text.append(String.format(Locale.ROOT, "%s %.3f ", reason, share)));
        return text.toString().toLowerCase(Locale.ROOT).trim();
    }

    /**
     * Draws the share of the payoff that each scheduling policy earned on each load as a bar chart.
     *
     * @param all the results by load and policy
     * @param file the PNG file to write
     * @throws IOException if the file cannot be written
     */
    public static void plot(Map<String, Map<String, ExperimentResult>> all, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        DefaultCategoryDataset bars = new DefaultCategoryDataset();
        all.forEach((load, results) -> {
            results.forEach((policy, r) -> bars.addValue(r.earned(), policy, load));
            results.values().stream().findFirst().ifPresent(r -> bars.addValue(r.reference(), "reference", load));
        });
        JFreeChart chart = ChartFactory.createBarChart(
                "payoff earned",
                "load",
                "share of the full payoff",
                bars,
                PlotOrientation.VERTICAL,
                true,
                false,
                false);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PX, HEIGHT_PX);
    }
}
