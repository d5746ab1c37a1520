package org.gooseberrypier.load.cluster;

import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.server.EntryVm;
import org.gooseberrypier.server.settings.Settings;
import org.gooseberrypier.ticket.VmSpec;

/**
 * An entry VM of a cluster, with a forwarder for the connections of its peers and one for its connections to the
 * platform.
 */
final class ClusterVm implements AutoCloseable {

    private final String name;
    private final String zone;
    private final HostPort peerAddress = FreePorts.nextAddress();
    private final FaultyTcpForwarder peerForwarder;
    private final FaultyTcpForwarder platformForwarder;
    private final EntryVm vm;

    ClusterVm(String name, String zone, String placement, EventLoopGroup group, HostPort platformAddress) {
        this.name = name;
        this.zone = zone;
        peerForwarder = new FaultyTcpForwarder(group, FreePorts.ANY_PORT, peerAddress);
        platformForwarder = new FaultyTcpForwarder(group, FreePorts.ANY_PORT, platformAddress);
        vm = EntryVm.open(Settings.builder(name, zone)
                .set("callerAddress", FreePorts.ANY_PORT.toString())
                .set("operatorAddress", FreePorts.ANY_PORT.toString())
                .set("peerAddress", peerAddress.toString())
                .set("platformAddress", platformForwarder.address().toString())
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
        return new VmSpec(
                new VmId(name), new ZoneId(zone), peerForwarder.address().toString(), leaving);
    }

    void setForwarders(FaultyTcpForwarder.State state) {
        peerForwarder.setState(state);
        platformForwarder.setState(state);
    }

    @Override
    public void close() {
        if (!vm.termination().isDone()) {
            vm.close();
        }
        peerForwarder.close();
        platformForwarder.close();
    }
}
