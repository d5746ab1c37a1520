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

/** Draws the distributions of the ratio of response time to ideal response time as a PNG image. */
public final class DistributionPlot {

    private static final int WIDTH_PX = 1_000;
    private static final int HEIGHT_PX = 700;
    private static final int POINTS = 1_000;
    private static final double MIN_RATIO = 0.001;

    private DistributionPlot() {}

    /**
     * Writes the chart.
     *
     * @param title the title of the chart
     * @param reports one report for each policy
     * @param file the PNG file to write
     * @throws IOException if the file cannot be written
     */
    public static void write(String title, Map<String, RunReport> reports, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection dataset = new XYSeriesCollection();
        reports.forEach((policy, report) -> dataset.addSeries(line(policy, report.responseOverIdeal())));
        reports.values().stream()
                .findFirst()
                .ifPresent(r -> dataset.addSeries(line("reference", r.referenceOverIdeal())));
        JFreeChart chart = ChartFactory.createXYLineChart(
                title,
                "response time over ideal",
                "share of jobs",
                dataset,
                PlotOrientation.VERTICAL,
                true,
                false,
                false);
        chart.getXYPlot().setDomainAxis(new LogAxis("response time over ideal"));
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PX, HEIGHT_PX);
    }

    private static XYSeries line(String name, RatioHistogram ratios) {
        XYSeries series = new XYSeries(name);
        for (int i = 1; i <= POINTS; i++) {
            double share = (double) i / POINTS;
            series.add(Math.max(MIN_RATIO, ratios.quantile(share)), share);
        }
        return series;
    }
}
