package org.gooseberrypier.load.cluster;

import org.gooseberrypier.standin.endpoint.FailureMode;

/**
 * Configuration of a stand-in endpoint.
 *
 * @param zone its availability zone
 * @param slots the number of tasks that it runs at the same time
 * @param speed its speed, relative to a standard endpoint
 * @param mode its failure mode from the start on
 */
public record EndpointPlan(String zone, int slots, double speed, FailureMode mode) {

    /** The number of connections that each endpoint accepts. */
    static final int CONNECTIONS = 64;

    /**
     * Returns the capacity of the endpoint.
     *
     * @return slots times speed
     */
    public double capacity() {
        return slots * speed;
    }
}
