package org.gooseberrypier.load.cluster;

import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.server.EntryVm;
import org.gooseberrypier.server.settings.Settings;
import org.gooseberrypier.ticket.VmSpec;

/** One entry VM of a cluster, and the links that lead to it and to the platform. */
final class ClusterVm implements AutoCloseable {

    private final String name;
    private final String zone;
    private final HostPort peerAddress = FreePorts.next();
    private final Link peers;
    private final Link platform;
    private final EntryVm vm;

    ClusterVm(String name, String zone, String placement, EventLoopGroup group, HostPort platformAddress) {
        this.name = name;
        this.zone = zone;
        peers = new Link(group, FreePorts.ANY, peerAddress);
        platform = new Link(group, FreePorts.ANY, platformAddress);
        vm = EntryVm.open(Settings.builder(name, zone)
                .set("callerAddress", FreePorts.ANY.toString())
                .set("operatorAddress", FreePorts.ANY.toString())
                .set("peerAddress", peerAddress.toString())
                .set("platformAddress", platform.address().toString())
                .set("placement", placement)
                .build());
    }

    String zone() {
        return zone;
    }

    EntryVm vm() {
        return vm;
    }

    VmSpec spec(boolean leaving) {
        return new VmSpec(new VmId(name), new ZoneId(zone), peers.address().toString(), leaving);
    }

    void setLinks(Link.State state) {
        peers.set(state);
        platform.set(state);
    }

    @Override
    public void close() {
        if (!vm.termination().isDone()) {
            vm.close();
        }
        peers.close();
        platform.close();
    }
}
