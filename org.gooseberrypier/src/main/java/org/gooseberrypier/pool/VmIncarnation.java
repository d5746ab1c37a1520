package org.gooseberrypier.pool;

import java.util.Comparator;

/**
 * Incarnation of a VM, with the address at which its peers reach it.
 *
 * @param address the address for peers, IP and port
 * @param zone the availability zone
 * @param incarnation the number of the incarnation, new at each start of the VM
 * @param milliCores the processor capacity, in thousandths of a core
 */
public record VmIncarnation(String address, String zone, long incarnation, int milliCores) {

    /** Order in which VMs become owner: the largest VM comes first, since the owner's load grows with the whole pool. */
    public static final Comparator<VmIncarnation> SUCCESSION_ORDER =
            Comparator.comparingInt(VmIncarnation::milliCores).reversed().thenComparing(VmIncarnation::address);
}
