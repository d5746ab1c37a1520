package org.gooseberrypier.lib;

/**
 * The resources that an endpoint offers or a task declares to need.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMb memory in mebibytes
 * @param accelerators the number of accelerators
 */
public record Resources(int milliCores, int memoryMb, int accelerators) {

    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Checks that no component is negative. */
    public Resources {
        if (milliCores < 0 || memoryMb < 0 || accelerators < 0) {
            throw new IllegalArgumentException(
                    "negative resources: " + milliCores + ", " + memoryMb + ", " + accelerators);
        }
    }

    /**
     * Returns whether these resources fit into a capacity.
     *
     * @param capacity the available resources
     * @return whether no component exceeds that of the capacity
     */
    public boolean fitsIn(Resources capacity) {
        return milliCores <= capacity.milliCores
                && memoryMb <= capacity.memoryMb
                && accelerators <= capacity.accelerators;
    }

    /**
     * Returns the sum of these resources and others.
     *
     * @param other the resources to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /**
     * Returns these resources less others, with each component at least zero.
     *
     * @param other the resources to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                Math.max(0, milliCores - other.milliCores),
                Math.max(0, memoryMb - other.memoryMb),
                Math.max(0, accelerators - other.accelerators));
    }
}
