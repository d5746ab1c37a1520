package org.gooseberrypier.load.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws the distributions of response over ideal as a PNG picture. */
public final class DistributionPlot {

    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 700;
    private static final int POINTS = 1_000;
    private static final double SMALLEST = 0.001;

    private DistributionPlot() {}

    /**
     * Writes the picture.
     *
     * @param title its title
     * @param reports one report for each policy
     * @param file where to
     * @throws IOException if the file cannot be written
     */
    public static void write(String title, Map<String, RunReport> reports, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection lines = new XYSeriesCollection();
        reports.forEach((policy, report) -> lines.addSeries(line(policy, report.responseOverIdeal())));
        reports.values().stream()
                .findFirst()
                .ifPresent(r -> lines.addSeries(line("reference", r.referenceOverIdeal())));
        JFreeChart chart = ChartFactory.createXYLineChart(
                title,
                "response time over ideal",
                "share of jobs",
                lines,
                PlotOrientation.VERTICAL,
                true,
                false,
                false);
        chart.getXYPlot().setDomainAxis(new LogAxis("response time over ideal"));
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }

    private static XYSeries line(String name, RatioHistogram ratios) {
        XYSeries series = new XYSeries(name);
        for (int i = 1; i <= POINTS; i++) {
            double share = (double) i / POINTS;
            series.add(Math.max(SMALLEST, ratios.quantile(share)), share);
        }
        return series;
    }
}
