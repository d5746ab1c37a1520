package org.gooseberrypier.load.cluster;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.gooseberrypier.http.HostPort;

/** Forwards TCP connections to one address; it can close them or drop their bytes to emulate network faults. */
final class FaultyTcpForwarder implements AutoCloseable {

    private final HostPort target;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;
    private volatile State state = State.OPEN;

    /** What the forwarder does with connections and bytes. */
    enum State {
        /** It forwards all bytes. */
        OPEN,
        /** It closes all connections and accepts no new ones. */
        DISCONNECTED,
        /** It keeps the connections open and drops all bytes. */
        SILENT
    }

    FaultyTcpForwarder(EventLoopGroup group, HostPort listen, HostPort target) {
        this.target = target;
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(listen.toSocketAddress())
                .syncUninterruptibly()
                .channel();
    }

    HostPort address() {
        return new HostPort(target.host(), ((java.net.InetSocketAddress) listener.localAddress()).getPort());
    }

    void setState(State value) {
        state = value;
        if (value == State.DISCONNECTED) {
            connections.close();
        }
    }

    @Override
    public void close() {
        listener.close();
        connections.close();
    }

    private void accept(Channel inbound) {
        if (state == State.DISCONNECTED) {
            inbound.close();
            return;
        }
        connections.add(inbound);
        new Bootstrap()
                .group(inbound.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ForwardHandler(inbound))
                .connect(target.toSocketAddress())
                .addListener(f -> {
                    if (f.isSuccess()) {
                        Channel outbound = ((io.netty.channel.ChannelFuture) f).channel();
                        connections.add(outbound);
                        inbound.pipeline().addLast(new ForwardHandler(outbound));
                        inbound.config().setAutoRead(true);
                    } else {
                        inbound.close();
                    }
                });
    }

    /** Forwards the bytes that arrive on one channel to the other channel. */
    private final class ForwardHandler extends ChannelInboundHandlerAdapter {

        private final Channel to;

        ForwardHandler(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (state == State.OPEN && message instanceof ByteBuf) {
                to.writeAndFlush(message);
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            to.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
            context.close();
        }
    }
}
