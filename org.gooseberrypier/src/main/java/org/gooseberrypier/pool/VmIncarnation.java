package org.gooseberrypier.pool;

import java.util.Comparator;

/**
 * One life of a VM and where its peers reach it.
 *
 * @param address the address for peers, IP and port
 * @param zone its availability zone
 * @param incarnation the number of this life, new at each start
 * @param milliCores its processor, in thousandths of a core
 */
public record VmIncarnation(String address, String zone, long incarnation, int milliCores) {

    /** The order in which VMs become owner: the owner's work grows with the whole pool, so the largest VM comes first. */
    public static final Comparator<VmIncarnation> SUCCESSION_ORDER =
            Comparator.comparingInt(VmIncarnation::milliCores).reversed().thenComparing(VmIncarnation::address);
}
