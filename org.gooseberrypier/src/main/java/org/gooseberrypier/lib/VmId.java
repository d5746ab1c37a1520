package org.gooseberrypier.lib;

import java.util.Objects;

/**
 * The name of a VM of the system.
 *
 * @param name the name, not blank
 */
public record VmId(String name) implements Comparable<VmId> {

    /** Checks that the name is neither null nor blank. */
    public VmId {
        Objects.requireNonNull(name, "name");
        if (name.isBlank()) {
            throw new IllegalArgumentException("VmId: name is blank");
        }
    }

    @Override
    public int compareTo(VmId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
