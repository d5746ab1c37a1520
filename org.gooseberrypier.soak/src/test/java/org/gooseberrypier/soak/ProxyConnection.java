package org.gooseberrypier.soak;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.UnaryOperator;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;

/** A connection through the proxy. All calls come on the event loop that both channels share. */
final class ProxyConnection {

    private final CutProxy.Route route;
    private final SocketChannel client;
    private final SocketChannel server;
    private final Half toServer;
    private final Half toClient;

    ProxyConnection(
            CutProxy.Route route,
            SocketChannel client,
            SocketChannel server,
            UnaryOperator<ByteBuf> rewriteToServer,
            UnaryOperator<ByteBuf> rewriteToClient) {
        this.route = route;
        this.client = client;
        this.server = server;
        toServer = new Half(client, server, rewriteToServer);
        toClient = new Half(server, client, rewriteToClient);
    }

    /** Begins to carry bytes, each direction held or not. */
    void open(boolean holdToServer, boolean holdToClient) {
        client.pipeline().addLast(toServer);
        server.pipeline().addLast(toClient);
        hold(holdToServer, holdToClient);
    }

    /** Holds or releases each direction. */
    void hold(boolean holdToServer, boolean holdToClient) {
        toServer.hold(holdToServer);
        toClient.hold(holdToClient);
    }

    /** Resets both sides and drops what was held. */
    void reset() {
        reset(client);
        reset(server);
    }

    private static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    CutProxy.Route route() {
        return route;
    }

    EventLoop eventLoop() {
        return client.eventLoop();
    }

    boolean isOpen() {
        return client.isOpen() || server.isOpen();
    }

    /** One direction: reads from one side, writes to the other. */
    private static final class Half extends ChannelInboundHandlerAdapter {

        private final SocketChannel source;
        private final SocketChannel sink;
        private final UnaryOperator<ByteBuf> rewrite;
        private final Queue<ByteBuf> waiting = new ArrayDeque<>();
        private boolean held;
        private boolean atEnd;
        private boolean broken;

        Half(SocketChannel source, SocketChannel sink, UnaryOperator<ByteBuf> rewrite) {
            this.source = source;
            this.sink = sink;
            this.rewrite = rewrite;
        }

        /** While held, nothing is read, so that bytes wait in the kernel as they do on a host whose packets are lost. */
        void hold(boolean value) {
            held = value;
            source.config().setAutoRead(!value);
            if (!value) {
                deliver();
            }
        }

        private void deliver() {
            while (!waiting.isEmpty()) {
                sink.writeAndFlush(rewrite.apply(waiting.remove()));
            }
            if (broken) {
                reset(sink);
            } else if (atEnd) {
                sink.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> endSink());
            }
        }

        private void endSink() {
            if (sink.isInputShutdown() || !source.isOpen()) {
                sink.close();
            } else if (sink.isOpen()) {
                sink.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            waiting.add((ByteBuf) message);
            if (!held) {
                deliver();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                atEnd = true;
                if (!held) {
                    deliver();
                }
                if (source.isOutputShutdown()) {
                    source.close();
                }
            }
        }

        /** A side that is gone by a reset, or that was written to after it had closed, loses what it had still to deliver. */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            broken |= !atEnd;
            atEnd = true;
            if (!held) {
                deliver();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            broken = true;
            source.close();
        }
    }
}
