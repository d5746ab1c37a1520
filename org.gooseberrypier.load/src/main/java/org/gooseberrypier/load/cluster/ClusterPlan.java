package org.gooseberrypier.load.cluster;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.standin.endpoint.FailureMode;

/**
 * Configuration of a cluster: its entry VMs and endpoints.
 *
 * @param zones the availability zones
 * @param vms the number of entry VMs, distributed evenly over the zones
 * @param endpoints the endpoints
 * @param placement the placement policy of every VM
 */
public record ClusterPlan(List<String> zones, int vms, List<EndpointPlan> endpoints, String placement) {

    /** The availability zones of the case service. */
    public static final List<String> DEFAULT_ZONES = List.of("tartu-a", "tartu-b", "elva-c");

    private static final double[] UNEQUAL_SPEEDS = {0.5, 0.75, 1, 1.25, 1.5};

    /** Copies the lists. */
    public ClusterPlan {
        zones = List.copyOf(zones);
        endpoints = List.copyOf(endpoints);
    }

    /**
     * Creates a plan with endpoints that are distributed evenly over the zones.
     *
     * @param zones the availability zones
     * @param vms the number of entry VMs
     * @param endpoints the number of endpoints
     * @param slots the number of slots of each endpoint
     * @param unequal whether speeds differ by up to a factor of 3; their mean is 1
     * @param placement the placement policy
     * @return the plan
     */
    public static ClusterPlan spread(
            List<String> zones, int vms, int endpoints, int slots, boolean unequal, String placement) {
        List<EndpointPlan> list = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            double speed = unequal ? UNEQUAL_SPEEDS[i % UNEQUAL_SPEEDS.length] : 1;
            list.add(new EndpointPlan(zones.get(i % zones.size()), slots, speed, FailureMode.NONE));
        }
        return new ClusterPlan(zones, vms, list, placement);
    }

    /**
     * Returns the capacity of all endpoints together.
     *
     * @return the sum of slots times speed
     */
    public double capacity() {
        return endpoints.stream().mapToDouble(EndpointPlan::capacity).sum();
    }

    /**
     * Returns the speed of each slot.
     *
     * @return one value for each slot of each endpoint
     */
    public List<Double> slotSpeeds() {
        List<Double> speeds = new ArrayList<>();
        for (EndpointPlan e : endpoints) {
            for (int i = 0; i < e.slots(); i++) {
                speeds.add(e.speed());
            }
        }
        return speeds;
    }
}
