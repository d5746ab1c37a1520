package org.gooseberrypier.internal.board;

import org.gooseberrypier.lib.WorkId;

/** The queue, capacity and run-time statistics of one kind of work on this VM. */
public final class WorkState {

    /** The run time assumed before the first sample, in milliseconds. */
    public static final double DEFAULT_RUN_MS = 200;

    private static final double MAX_RATIO_TO_MEAN = 3;
    private static final int MIN_SAMPLES_FOR_CLIPPING = 10;
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    private final WorkId work;
    private int waiting;
    private double waitingMs;
    private int running;
    private int slots;
    private int endpoints;
    private double meanRunMs;
    private double deviationMs;
    private long samples;

    /**
     * Creates the state of a kind of work without samples.
     *
     * @param work the kind of work
     */
    public WorkState(WorkId work) {
        this.work = work;
    }

    /**
     * Returns the kind of work.
     *
     * @return the work
     */
    public WorkId work() {
        return work;
    }

    /**
     * Returns how many tasks wait.
     *
     * @return the number of tasks
     */
    public int waiting() {
        return waiting;
    }

    /**
     * Returns the total expected run time of the waiting tasks.
     *
     * @return the total in milliseconds
     */
    public double waitingMs() {
        return waitingMs;
    }

    /**
     * Changes the totals of the waiting tasks.
     *
     * @param tasks the change of the number of tasks
     * @param expectedMs the change of their expected run time in milliseconds
     */
    public void addWaiting(int tasks, double expectedMs) {
        waiting += tasks;
        waitingMs = waiting == 0 ? 0 : Math.max(0, waitingMs + expectedMs);
    }

    /**
     * Returns how many tasks of this VM are running.
     *
     * @return the number of tasks
     */
    public int running() {
        return running;
    }

    /**
     * Changes how many tasks of this VM are running.
     *
     * @param delta 1 for a start, -1 for an end
     */
    public void addRunning(int delta) {
        running += delta;
    }

    /**
     * Returns how many slots serve the work in the whole system.
     *
     * @return the slots of the endpoints that are not leaving
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns how many endpoints serve the work in the whole system.
     *
     * @return the endpoints that are not leaving
     */
    public int endpoints() {
        return endpoints;
    }

    /**
     * Sets the number of endpoints and slots that serve the work.
     *
     * @param endpointCount the number of endpoints that are not leaving
     * @param slotCount the number of their slots
     */
    public void setServedBy(int endpointCount, int slotCount) {
        endpoints = endpointCount;
        slots = slotCount;
    }

    /**
     * Returns the moving average of the run time.
     *
     * @return milliseconds, {@link #DEFAULT_RUN_MS} before the first sample
     */
    public double meanRunMs() {
        return samples == 0 ? DEFAULT_RUN_MS : meanRunMs;
    }

    /**
     * Returns the moving average of the absolute deviation of the run time from its mean.
     *
     * @return milliseconds, 0 before the first sample
     */
    public double deviationMs() {
        return deviationMs;
    }

    /**
     * Tells whether there are samples of the run time.
     *
     * @return whether the mean is measured and not assumed
     */
    public boolean hasSamples() {
        return samples > 0;
    }

    /**
     * Adds a run time to the moving averages; a run time far above the mean is clipped.
     *
     * @param measuredMs the run time in milliseconds
     */
    public void addSample(double measuredMs) {
        double runMs =
                samples < MIN_SAMPLES_FOR_CLIPPING ? measuredMs : Math.min(measuredMs, MAX_RATIO_TO_MEAN * meanRunMs);
        double deviation = hasSamples() ? Math.abs(runMs - meanRunMs) : 0;
        samples++;
        deviationMs += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples) * (deviation - deviationMs);
        meanRunMs += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples) * (runMs - meanRunMs);
    }
}
