package org.gooseberrypier.pool;

import java.util.List;

/**
 * Registration of an endpoint in the shared store.
 *
 * @param id the identifier, which may be used again after a restart
 * @param address the address for orders, IP and port
 * @param zone the availability zone
 * @param service the service that the endpoint runs
 * @param labels the labels, of which the first is the hardware kind; the rack is one of the others
 * @param milliCores the processor capacity, in thousandths of a core
 * @param memoryMb the memory, in megabytes
 * @param draining whether the endpoint accepts no new tasks
 */
public record PoolEndpoint(
        String id,
        String address,
        String zone,
        String service,
        List<String> labels,
        long milliCores,
        long memoryMb,
        boolean draining) {

    /** Makes an immutable copy of the labels. */
    public PoolEndpoint {
        labels = List.copyOf(labels);
    }

    /**
     * Returns the hardware kind; speeds are estimated per kind.
     *
     * @return the first label, or an empty text if there is none
     */
    public String kind() {
        return labels.isEmpty() ? "" : labels.get(0);
    }
}
