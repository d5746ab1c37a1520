package org.gooseberrypier.pool;

import java.util.List;

/**
 * An endpoint as it registered itself.
 *
 * @param id its identifier, which may live again after a restart
 * @param address where it takes orders, IP and port
 * @param zone its availability zone
 * @param service the service that it runs
 * @param labels its kind and its rack, among others
 * @param milliCores its processors, in thousandths of a core
 * @param memoryMb its memory, in megabytes
 * @param draining whether it takes no new tasks
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

    /** Copies the labels. */
    public PoolEndpoint {
        labels = List.copyOf(labels);
    }

    /**
     * Returns the hardware kind, by which speeds are compared.
     *
     * @return the first label, or an empty text
     */
    public String kind() {
        return labels.isEmpty() ? "" : labels.get(0);
    }
}
