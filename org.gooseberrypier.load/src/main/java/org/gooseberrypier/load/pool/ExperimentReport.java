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

/** Shows results of experiments side by side, as text and as a picture. */
public final class ExperimentReport {

    private static final String HEAD = "%-14s %-28s %6s %7s %7s %7s %7s %8s %8s %7s  %s%n";
    private static final String ROW = "%-14s %-28s %6d %7.3f %7.3f %7.3f %7.3f %8d %8d %7d  %s%n";
    private static final int WIDTH = 1_200;
    private static final int HEIGHT = 700;

    private ExperimentReport() {}

    /**
     * Prints the heading.
     *
     * @param out where to
     */
    public static void printHeader(PrintStream out) {
        out.printf(
                HEAD, "load", "rules", "jobs", "earned", "of ref", "window", "queue", "at once", "late", "wasted",
                "lost");
    }

    /**
     * Prints a line for each choice of rules.
     *
     * @param load the load
     * @param results the results by the name of the rules
     * @param out where to
     */
    public static void print(PoolLoad load, Map<String, ExperimentResult> results, PrintStream out) {
        results.forEach((rules, r) -> out.printf(
                Locale.ROOT,
                ROW,
                load.name(),
                rules,
                r.jobs(),
                r.earned(),
                r.shareOfReference(),
                r.worstWindow(),
                r.worstQueueShare(),
                r.refusedAtOnce(),
                r.refusedLate(),
                r.wastedStarts(),
                lost(r)));
    }

    private static String lost(ExperimentResult result) {
        StringBuilder text = new StringBuilder();
        result.lost().forEach((why, share) -> text.append(String.format(Locale.ROOT, "%s %.3f ", why, share)));
        return text.toString().toLowerCase(Locale.ROOT).trim();
    }

    /**
     * Draws the share earned by each choice of rules on each load.
     *
     * @param all the results by load and rules
     * @param file a PNG file
     * @throws IOException if it can not be written
     */
    public static void plot(Map<String, Map<String, ExperimentResult>> all, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        DefaultCategoryDataset bars = new DefaultCategoryDataset();
        all.forEach((load, results) -> {
            results.forEach((rules, r) -> bars.addValue(r.earned(), rules, load));
            results.values().stream().findFirst().ifPresent(r -> bars.addValue(r.reference(), "reference", load));
        });
        JFreeChart chart = ChartFactory.createBarChart(
                "payoff earned", "load", "share of what was owed", bars, PlotOrientation.VERTICAL, true, false, false);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }
}
