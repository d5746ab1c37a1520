package org.gooseberrypier.lib;

import java.util.Comparator;

/**
 * One run of a VM's process, identified by the VM and an incarnation that is new at every start.
 *
 * @param vm the VM
 * @param incarnation a number that is unique among the runs of this VM
 */
public record Member(VmId vm, long incarnation) implements Comparable<Member> {

    private static final Comparator<Member> ORDER =
            Comparator.comparing(Member::vm).thenComparingLong(Member::incarnation);

    @Override
    public int compareTo(Member other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return vm + "#" + Long.toHexString(incarnation);
    }
}
