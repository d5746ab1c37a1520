package org.gooseberrypier.ticket;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A numbered configuration change, as published by an operator.
 *
 * <p>A ticket contains the complete new state of each section that it changes; an empty section stays as it is.
 *
 * @param number one more than the number of the ticket in force
 * @param uniqueId an identifier chosen by the publisher, with which it recognizes its own ticket
 * @param author who issued the ticket
 * @param reason why it was issued
 * @param vms all entry VMs
 * @param endpoints all endpoints
 * @param teams all teams
 * @param limits all limits
 */
public record Ticket(
        long number,
        String uniqueId,
        String author,
        String reason,
        Optional<List<VmSpec>> vms,
        Optional<List<EndpointSpec>> endpoints,
        Optional<List<TeamSpec>> teams,
        Optional<Limits> limits) {

    /** Checks that no component is null and copies the lists. */
    public Ticket {
        Objects.requireNonNull(uniqueId, "uniqueId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(reason, "reason");
        vms = vms.map(List::copyOf);
        endpoints = endpoints.map(List::copyOf);
        teams = teams.map(List::copyOf);
        Objects.requireNonNull(limits, "limits");
    }
}
