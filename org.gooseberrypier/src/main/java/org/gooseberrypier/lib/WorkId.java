package org.gooseberrypier.lib;

import java.util.Objects;

/**
 * The name of a kind of work, which endpoints offer and tasks request.
 *
 * @param name the name, not blank
 */
public record WorkId(String name) implements Comparable<WorkId> {

    /** Checks that the name is neither null nor blank. */
    public WorkId {
        Objects.requireNonNull(name, "name");
        if (name.isBlank()) {
            throw new IllegalArgumentException("WorkId: name is blank");
        }
    }

    @Override
    public int compareTo(WorkId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
