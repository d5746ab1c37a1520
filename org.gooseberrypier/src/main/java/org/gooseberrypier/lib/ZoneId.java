package org.gooseberrypier.lib;

import java.util.Objects;

/**
 * The name of an availability zone.
 *
 * @param name the name, not blank
 */
public record ZoneId(String name) implements Comparable<ZoneId> {

    /** Checks that the name is neither null nor blank. */
    public ZoneId {
        Objects.requireNonNull(name, "name");
        if (name.isBlank()) {
            throw new IllegalArgumentException("ZoneId: name is blank");
        }
    }

    @Override
    public int compareTo(ZoneId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
