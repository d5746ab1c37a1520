package org.gooseberrypier.lib;

import java.util.Objects;

/**
 * The name of an endpoint that runs tasks.
 *
 * @param name the name, not blank
 */
public record EndpointId(String name) implements Comparable<EndpointId> {

    /** Checks that the name is neither null nor blank. */
    public EndpointId {
        Objects.requireNonNull(name, "name");
        if (name.isBlank()) {
            throw new IllegalArgumentException("EndpointId: name is blank");
        }
    }

    @Override
    public int compareTo(EndpointId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
