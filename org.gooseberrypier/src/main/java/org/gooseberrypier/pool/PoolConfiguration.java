package org.gooseberrypier.pool;

import java.util.List;
import java.util.Optional;

/**
 * Configuration of the pool, as set by its operators.
 *
 * @param version the version, which increases with each change
 * @param queues the queues to which callers submit jobs
 */
public record PoolConfiguration(long version, List<PoolQueue> queues) {

    /** Makes an immutable copy of the queues. */
    public PoolConfiguration {
        queues = List.copyOf(queues);
    }

    /**
     * Finds the queue of a host with the longest path prefix that matches.
     *
     * @param host the host that the caller addresses, compared without regard to case
     * @param path the path of the request
     * @return the queue, or empty if none matches
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
