package org.gooseberrypier.server.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.gooseberrypier.api.Dispatcher;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.protocol.Envelope;
import org.gooseberrypier.server.log.LogText;
import org.gooseberrypier.server.settings.PeerSettings;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.VmSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Exchanges messages with the other VMs of the ticket over gRPC, with one outgoing stream to each of them. */
public final class PeerTransport implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);
    private static final long KEEP_ALIVE_TIME_S = 30;
    private static final long KEEP_ALIVE_TIMEOUT_S = 10;

    private final Member self;
    private final EventLoopGroup group;
    private final PeerSettings settings;
    private final PeerEventSink events;
    private final PeerCounters counters = new PeerCounters();
    private final Map<VmId, PeerLink> links = new ConcurrentHashMap<>();
    private final Server server;

    /**
     * Starts to listen for peers.
     *
     * @param dispatcher the receiver of the events
     * @param self this VM
     * @param group the event loops
     * @param address the address to listen on
     * @param settings the settings of the streams
     */
    public PeerTransport(
            Dispatcher dispatcher, Member self, EventLoopGroup group, HostPort address, PeerSettings settings) {
        this(dispatcher::publish, self, group, address, settings);
    }

    PeerTransport(PeerEventSink events, Member self, EventLoopGroup group, HostPort address, PeerSettings settings) {
        this.self = self;
        this.group = group;
        this.settings = settings;
        this.events = events;
        this.server = NettyServerBuilder.forAddress(address.toSocketAddress())
                .bossEventLoopGroup(group)
                .workerEventLoopGroup(group)
                .channelType(NioServerSocketChannel.class)
                .maxInboundMessageSize(settings.maxMessageBytes())
                .keepAliveTime(KEEP_ALIVE_TIME_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
                .directExecutor()
                .addService(new PeerReceiver(self.vm(), counters, events))
                .build();
        try {
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the address that peers connect to.
     *
     * @return the address with the bound port
     */
    public HostPort address() {
        InetSocketAddress a =
                (InetSocketAddress) server.getListenSockets().iterator().next();
        return new HostPort(a.getAddress().getHostAddress(), a.getPort());
    }

    /**
     * Returns the counters of messages and streams.
     *
     * @return the counters
     */
    public PeerCounters counters() {
        return counters;
    }

    /**
     * Opens links to the other VMs of a configuration and closes the links to VMs that are not in it.
     *
     * @param configuration the configuration in force
     */
    public void applyConfiguration(Configuration configuration) {
        for (VmSpec v : configuration.vms().values()) {
            if (!v.id().equals(self.vm())) {
                links.compute(v.id(), (id, link) -> linkTo(v, link));
            }
        }
        links.entrySet().removeIf(e -> {
            boolean removed = !configuration.vms().containsKey(e.getKey());
            if (removed) {
                e.getValue().close();
            }
            return removed;
        });
    }

    /**
     * Sends a message at most once. The message is dropped if the VM is not in the configuration or its queue is full.
     *
     * @param effect the message and its receiver
     */
    public void send(Effect.SendPeer effect) {
        PeerLink link = links.get(effect.to());
        if (link == null) {
            counters.addDropped(1);
            return;
        }
        Envelope envelope = EnvelopeCodec.toProto(self, effect.to(), effect.message());
        link.send(envelope);
    }

    /**
     * Sends the queued messages, then closes all streams and the listener.
     *
     * @param timeoutMs how long to wait until the queues are empty, in milliseconds
     * @return completed when everything is closed
     */
    public CompletableFuture<Void> stop(long timeoutMs) {
        CompletableFuture<?>[] closedLinks =
                links.values().stream().map(PeerLink::close).toArray(CompletableFuture[]::new);
        server.shutdown();
        return CompletableFuture.allOf(closedLinks)
                .completeOnTimeout(null, timeoutMs, TimeUnit.MILLISECONDS)
                .thenRun(this::close);
    }

    @Override
    public void close() {
        links.values().forEach(PeerLink::abort);
        server.shutdownNow();
    }

    private PeerLink linkTo(VmSpec spec, PeerLink existing) {
        HostPort address;
        try {
            address = HostPort.parse(spec.peerAddress());
        } catch (IllegalArgumentException e) {
            LOG.warn(
                    "event=peer_address_malformed vm={} error={}",
                    LogText.quote(spec.id()),
                    LogText.quote(e.getMessage()));
            return existing;
        }
        if (existing != null && existing.address().equals(address)) {
            return existing;
        }
        if (existing != null) {
            existing.close();
        }
        return new PeerLink(spec.id(), address, group.next(), settings, counters, events);
    }
}
