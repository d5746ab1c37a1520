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
    private final HostPort peerAddress = FreePorts.nextAddress();
    private final FaultyTcpForwarder peers;
    private final FaultyTcpForwarder platform;
    private final EntryVm vm;

    ClusterVm(String name, String zone, String placement, EventLoopGroup group, HostPort platformAddress) {
        this.name = name;
        this.zone = zone;
        peers = new FaultyTcpForwarder(group, FreePorts.ANY_PORT, peerAddress);
        platform = new FaultyTcpForwarder(group, FreePorts.ANY_PORT, platformAddress);
        vm = EntryVm.open(Settings.builder(name, zone)
                .set("callerAddress", FreePorts.ANY_PORT.toString())
                .set("operatorAddress", FreePorts.ANY_PORT.toString())
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

    void setForwarders(FaultyTcpForwarder.State state) {
        peers.setState(state);
        platform.setState(state);
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
