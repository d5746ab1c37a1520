package org.gooseberrypier.pool;

import java.util.List;
import java.util.Optional;

/**
 * The operators' configuration of the pool.
 *
 * @param version its version, which rises with each change
 * @param queues the queues
 */
public record PoolConfiguration(long version, List<PoolQueue> queues) {

    /** Copies the queues. */
    public PoolConfiguration {
        queues = List.copyOf(queues);
    }

    /**
     * Finds the queue with the longest prefix that a path begins with.
     *
     * @param host the host that the caller names
     * @param path the path
     * @return the queue, if there is one
     */
    public Optional<PoolQueue> findQueue(String host, String path) {
        PoolQueue best = null;
        for (PoolQueue q : queues) {
            boolean matches = q.host().equalsIgnoreCase(host) && path.startsWith(q.pathPrefix());
            if (matches
                    && (best == null
                            || q.pathPrefix().length() > best.pathPrefix().length())) {
                best = q;
            }
        }
        return Optional.ofNullable(best);
    }
}
