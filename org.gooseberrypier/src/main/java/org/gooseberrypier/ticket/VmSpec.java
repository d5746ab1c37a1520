package org.gooseberrypier.ticket;

import java.util.Objects;

import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;

/**
 * An entry VM as declared in a ticket.
 *
 * @param id the VM
 * @param zone the availability zone of the VM
 * @param peerAddress IP address and port where it listens for its peers
 * @param leaving whether it is to hand over its work and stop
 */
public record VmSpec(VmId id, ZoneId zone, String peerAddress, boolean leaving) {

    /** Checks that no component is null. */
    public VmSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
