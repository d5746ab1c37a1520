package org.gooseberrypier.ticket;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;

/**
 * An endpoint as declared in a ticket.
 *
 * @param id the endpoint
 * @param zone the availability zone of the endpoint
 * @param address IP address and port, as in {@code 10.0.0.1:8080}
 * @param works the kinds of work that it runs
 * @param slots the maximum number of tasks that it runs concurrently
 * @param connections the maximum number of connections that it accepts
 * @param capacity the resources of a worker; empty for a service instance, whose tasks are limited by slots only
 * @param leaving whether it is being drained: it gets no new work
 */
public record EndpointSpec(
        EndpointId id,
        ZoneId zone,
        String address,
        Set<WorkId> works,
        int slots,
        int connections,
        Optional<Resources> capacity,
        boolean leaving) {

    /** Checks that no component is null and copies the set. */
    public EndpointSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(capacity, "capacity");
        works = Collections.unmodifiableSet(new LinkedHashSet<>(works));
    }
}
