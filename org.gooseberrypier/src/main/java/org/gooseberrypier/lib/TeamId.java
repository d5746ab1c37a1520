package org.gooseberrypier.lib;

import java.util.Objects;

/**
 * The name of a team; quotas apply per team.
 *
 * @param name the name, not blank
 */
public record TeamId(String name) implements Comparable<TeamId> {

    /** Checks that the name is neither null nor blank. */
    public TeamId {
        Objects.requireNonNull(name, "name");
        if (name.isBlank()) {
            throw new IllegalArgumentException("TeamId: name is blank");
        }
    }

    @Override
    public int compareTo(TeamId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
