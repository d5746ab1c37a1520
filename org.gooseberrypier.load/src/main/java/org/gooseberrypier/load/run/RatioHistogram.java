package org.gooseberrypier.load.run;

import org.HdrHistogram.Histogram;

/** A distribution of ratios with a resolution of one thousandth. */
public final class RatioHistogram {

    private static final double SCALE = 1_000;
    private static final int DIGITS = 3;
    private static final double PERCENT = 100;

    private final Histogram histogram = new Histogram(DIGITS);

    /**
     * Records a ratio.
     *
     * @param ratio the ratio, not negative
     */
    public void record(double ratio) {
        histogram.recordValue(Math.max(0, Math.round(ratio * SCALE)));
    }

    /**
     * Returns the mean.
     *
     * @return the mean, 0 if nothing was recorded
     */
    public double mean() {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getMean() / SCALE;
    }

    /**
     * Returns a quantile.
     *
     * @param share the share of the ratios, from 0 to 1
     * @return the value that this share of the ratios does not exceed
     */
    public double quantile(double share) {
        return histogram.getValueAtPercentile(share * PERCENT) / SCALE;
    }

    /**
     * Returns the number of recorded ratios.
     *
     * @return the number of ratios
     */
    public long count() {
        return histogram.getTotalCount();
    }
}
