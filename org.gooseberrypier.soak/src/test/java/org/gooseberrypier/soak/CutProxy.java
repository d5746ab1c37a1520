package org.gooseberrypier.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.gooseberrypier.http.HostPort;

/** A TCP proxy between the parties of a run that holds what a cut of the network holds. */
final class CutProxy implements AutoCloseable {

    /** Connections that a listener may keep waiting, which is also how many have to fill it before it drops new ones. */
    private static final int BACKLOG = 16;

    private final EventLoopGroup group;
    private final Addresses addresses;
    private final List<Listener> listeners = new ArrayList<>();
    private final Set<ProxyConnection> connections = ConcurrentHashMap.newKeySet();
    private final Set<SocketAddress> fillers = ConcurrentHashMap.newKeySet();
    private final List<Cut> cuts = new CopyOnWriteArrayList<>();

    /** Cuts that have ended for new connections, and still hold what crossed them. */
    private final List<Cut> lateCuts = new CopyOnWriteArrayList<>();

    /**
     * A way from a VM to another party.
     *
     * @param client the VM
     * @param clientZone its zone
     * @param server the party
     * @param serverZone its zone
     * @param listen the party's address as the VM sees it
     * @param target where the party listens
     * @param peers whether both are VMs, which name addresses to each other
     */
    record Route(
            int client,
            String clientZone,
            int server,
            String serverZone,
            HostPort listen,
            HostPort target,
            boolean peers) {

        boolean holdsToServer(List<Cut> cuts) {
            return cuts.stream().anyMatch(c -> c.holds(clientZone, serverZone));
        }

        boolean holdsToClient(List<Cut> cuts) {
            return cuts.stream().anyMatch(c -> c.holds(serverZone, clientZone));
        }

        boolean crosses(List<Cut> cuts) {
            return holdsToServer(cuts) || holdsToClient(cuts);
        }
    }

    /** A listener and the connections that fill it during a cut. */
    private record Listener(Route route, Channel channel, List<SocketChannel> filling) {}

    CutProxy(EventLoopGroup group, Addresses addresses) {
        this.group = group;
        this.addresses = addresses;
    }

    /** Opens a way. */
    void open(Route route) {
        Channel channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<io.netty.channel.socket.SocketChannel>() {
                    @Override
                    protected void initChannel(io.netty.channel.socket.SocketChannel client) {
                        accept(route, client);
                    }
                })
                .bind(route.listen().toSocketAddress())
                .syncUninterruptibly()
                .channel();
        listeners.add(new Listener(route, channel, new ArrayList<>()));
    }

    private void accept(Route route, io.netty.channel.socket.SocketChannel client) {
        if (fillers.remove(client.remoteAddress())) {
            client.close();
            return;
        }
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(route.target().toSocketAddress())
                .addListener((io.netty.channel.ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        connect(route, client, (io.netty.channel.socket.SocketChannel) f.channel());
                    } else {
                        client.config().setOption(ChannelOption.SO_LINGER, 0);
                        client.close();
                    }
                });
    }

    private void connect(
            Route route, io.netty.channel.socket.SocketChannel client, io.netty.channel.socket.SocketChannel server) {
        ProxyConnection connection = new ProxyConnection(
                route, client, server, rewriter(route, true, route.server()), rewriter(route, false, route.client()));
        connections.add(connection);
        client.closeFuture().addListener(f -> forget(connection));
        server.closeFuture().addListener(f -> forget(connection));
        connection.open(route.holdsToServer(cuts), route.holdsToClient(cuts));
    }

    private void forget(ProxyConnection connection) {
        if (!connection.isOpen()) {
            connections.remove(connection);
        }
    }

    private UnaryOperator<ByteBuf> rewriter(Route route, boolean fromClient, int reader) {
        return route.peers()
                ? new Http2AddressRewriter(fromClient, data -> addresses.translate(data, reader))
                : UnaryOperator.identity();
    }

    /** Begins a cut: bytes on open connections are held, new connections hang as if their first packet were lost. */
    synchronized void begin(Cut cut) {
        cuts.add(cut);
        applyToConnections();
        for (Listener l : listeners) {
            if (l.route().crosses(List.of(cut)) && l.filling().isEmpty()) {
                fill(l);
            }
        }
    }

    private void fill(Listener listener) {
        listener.channel().config().setAutoRead(false);
        for (int i = 0; i < BACKLOG + 2; i++) {
            try {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                filler.connect(listener.route().listen().toSocketAddress());
                fillers.add(filler.getLocalAddress());
                listener.filling().add(filler);
            } catch (IOException e) {
                throw new IllegalStateException("cannot fill the listener of " + listener.route(), e);
            }
        }
    }

    /** Ends a cut: what was sent is delivered, or lost if the cut resets. */
    synchronized void end(Cut cut) {
        if (cut.reset()) {
            for (ProxyConnection c : connections) {
                if (c.route().crosses(List.of(cut))) {
                    onLoop(c, c::reset);
                }
            }
        }
        lateCuts.add(cut);
        cuts.remove(cut);
        for (Listener l : listeners) {
            if (!l.filling().isEmpty() && !l.route().crosses(cuts)) {
                l.filling().forEach(CutProxy::closeQuietly);
                l.filling().clear();
                l.channel().config().setAutoRead(true);
            }
        }
        group.schedule(() -> release(cut), cut.lateMs(), TimeUnit.MILLISECONDS);
    }

    private synchronized void release(Cut cut) {
        lateCuts.remove(cut);
        applyToConnections();
    }

    private void applyToConnections() {
        List<Cut> all = new ArrayList<>(cuts);
        all.addAll(lateCuts);
        for (ProxyConnection c : connections) {
            boolean toServer = c.route().holdsToServer(all);
            boolean toClient = c.route().holdsToClient(all);
            onLoop(c, () -> c.hold(toServer, toClient));
        }
    }

    private static void onLoop(ProxyConnection connection, Runnable task) {
        connection.eventLoop().execute(task);
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // The connection was only a filler.
            return;
        }
    }

    @Override
    public synchronized void close() {
        listeners.forEach(l -> {
            l.filling().forEach(CutProxy::closeQuietly);
            l.channel().close();
        });
        connections.forEach(c -> onLoop(c, c::reset));
    }
}
