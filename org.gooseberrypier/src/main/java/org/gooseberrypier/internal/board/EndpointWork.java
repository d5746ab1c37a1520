package org.gooseberrypier.internal.board;

import org.gooseberrypier.lib.WorkId;

/** What this VM has learned of one kind of work on one endpoint, and the place of the pair in the index. */
public final class EndpointWork {

    /** The position of a pair that is in no index. */
    public static final int NOT_INDEXED = -1;

    private static final double SPEED_WEIGHT = 0.1;

    private final EndpointState endpoint;
    private final WorkId work;
    private double slowness = 1;
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
     * Returns the learned run time on this endpoint relative to the work's estimate.
     *
     * @return 1 for an endpoint of average speed, more for a slower one
     */
    public double slowdown() {
        return slowness;
    }

    /**
     * Learns from one task that ran.
     *
     * @param ratio its run time divided by its estimate
     */
    public void addSample(double ratio) {
        samples++;
        double weight = Math.max(SPEED_WEIGHT, 1.0 / samples);
        slowness += weight * (ratio - slowness);
    }

    /**
     * Returns the order among the free endpoints of the work.
     *
     * @return the rank, the smallest is taken first
     */
    public double rank() {
        return rank;
    }

    /**
     * Sets the order among the free endpoints of the work.
     *
     * @param value the rank
     */
    public void setRank(double value) {
        rank = value;
    }

    /**
     * Returns the place in the index.
     *
     * @return the position, {@link #NOT_INDEXED} if it is in none
     */
    public int position() {
        return position;
    }

    /**
     * Sets the place in the index.
     *
     * @param value the position
     */
    public void setPosition(int value) {
        position = value;
    }
}
