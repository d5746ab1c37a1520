package org.gooseberrypier.internal.board;

import org.gooseberrypier.lib.WorkId;

/** The measured speed of one endpoint for one kind of work, and the rank and index position of this pair. */
public final class EndpointWork {

    /** The position of a pair that is not in the index. */
    public static final int NOT_INDEXED = -1;

    private static final double MIN_SAMPLE_WEIGHT = 0.1;

    private final EndpointState endpoint;
    private final WorkId work;
    private double slowdown = 1;
    private int samples;
    private double rank;
    private int position = NOT_INDEXED;

    EndpointWork(EndpointState endpoint, WorkId work) {
        this.endpoint = endpoint;
        this.work = work;
    }

    /**
     * Returns the endpoint.
     *
     * @return the endpoint
     */
    public EndpointState endpoint() {
        return endpoint;
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
     * Returns the moving average of the run times on this endpoint relative to their estimates.
     *
     * @return 1 for an endpoint of average speed, more for a slower one
     */
    public double slowdown() {
        return slowdown;
    }

    /**
     * Adds the run time of a task to the moving average.
     *
     * @param ratio the run time divided by its estimate
     */
    public void addSample(double ratio) {
        samples++;
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples);
        slowdown += weight * (ratio - slowdown);
    }

    /**
     * Returns the rank among the free endpoints of the work.
     *
     * @return the rank; the endpoint with the lowest rank is used first
     */
    public double rank() {
        return rank;
    }

    /**
     * Sets the rank among the free endpoints of the work.
     *
     * @param value the rank
     */
    public void setRank(double value) {
        rank = value;
    }

    /**
     * Returns the position in the index.
     *
     * @return the position, {@link #NOT_INDEXED} if the pair is not in the index
     */
    public int position() {
        return position;
    }

    /**
     * Sets the position in the index.
     *
     * @param value the position
     */
    public void setPosition(int value) {
        position = value;
    }
}
