package org.gooseberrypier.ticket;

import java.util.Objects;

import org.gooseberrypier.lib.TeamId;

/**
 * A team and its quota as declared in a ticket.
 *
 * @param id the team
 * @param weight its share of the slots under overload, relative to the weights of the other teams
 * @param maxRunning the maximum number of its tasks that run concurrently in the whole system
 * @param maxQueued the maximum number of its tasks that wait at one VM
 */
public record TeamSpec(TeamId id, int weight, int maxRunning, int maxQueued) {

    /** Checks that the team is not null. */
    public TeamSpec {
        Objects.requireNonNull(id, "id");
    }
}
