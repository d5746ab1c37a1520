package org.gooseberrypier.server.platform;

import java.util.Set;

import org.gooseberrypier.lib.VmId;

/**
 * The platform's list of VMs, which may be out of date.
 *
 * @param live the VMs that are listed as live
 * @param leaving those live VMs that are listed as leaving
 */
public record VmListing(Set<VmId> live, Set<VmId> leaving) {

    /** Copies the sets. */
    public VmListing {
        live = Set.copyOf(live);
        leaving = Set.copyOf(leaving);
    }
}
