package org.gooseberrypier.internal.board;

import org.gooseberrypier.lib.WorkId;

/** What this VM knows of one kind of work. */
public final class WorkState {

    /** The run time that is assumed before any task has run, in milliseconds. */
    public static final double DEFAULT_RUN_MS = 200;

    private static final double MAX_RATIO = 3;
    private static final int MIN_SAMPLES = 10;
    private static final double MEAN_WEIGHT = 0.02;

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
     * Creates the state of a work that nothing is known of.
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
     * Returns the run time that the waiting tasks are expected to take.
     *
     * @return the sum in milliseconds
     */
    public double waitingMs() {
        return waitingMs;
    }

    /**
     * Notes that tasks came to wait or wait no more.
     *
     * @param tasks the change of their number
     * @param expectedMs the change of their expected run time in milliseconds
     */
    public void addWaiting(int tasks, double expectedMs) {
        waiting += tasks;
        waitingMs = waiting == 0 ? 0 : Math.max(0, waitingMs + expectedMs);
    }

    /**
     * Returns how many tasks of this VM run.
     *
     * @return the number of tasks
     */
    public int running() {
        return running;
    }

    /**
     * Notes that a task started or ended.
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
     * Sets what serves the work.
     *
     * @param endpointCount how many endpoints
     * @param slotCount how many slots they have
     */
    public void setServedBy(int endpointCount, int slotCount) {
        endpoints = endpointCount;
        slots = slotCount;
    }

    /**
     * Returns the learned mean run time.
     *
     * @return milliseconds, {@link #DEFAULT_RUN_MS} before the first sample
     */
    public double meanRunMs() {
        return samples == 0 ? DEFAULT_RUN_MS : meanRunMs;
    }

    /**
     * Returns the learned mean absolute deviation of the run time.
     *
     * @return milliseconds, 0 before the first sample
     */
    public double deviationMs() {
        return deviationMs;
    }

    /**
     * Tells whether any task has run.
     *
     * @return whether the mean was learned
     */
    public boolean hasSamples() {
        return samples > 0;
    }

    /**
     * Learns from one task that ran; a time far above the mean counts in part only.
     *
     * @param measuredMs its run time in milliseconds
     */
    public void addSample(double measuredMs) {
        double runMs = samples < MIN_SAMPLES ? measuredMs : Math.min(measuredMs, MAX_RATIO * meanRunMs);
        double deviation = hasSamples() ? Math.abs(runMs - meanRunMs) : 0;
        samples++;
        deviationMs += Math.max(MEAN_WEIGHT, 1.0 / samples) * (deviation - deviationMs);
        meanRunMs += Math.max(MEAN_WEIGHT, 1.0 / samples) * (runMs - meanRunMs);
    }
}
