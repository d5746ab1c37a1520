package org.gooseberrypier.http;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;

/** Listens on one address and gives each whole request to a handler. */
public final class HttpServer implements AutoCloseable {

    private static final int BACKLOG = 1024;

    private final Channel listener;
    private final ChannelGroup connections;
    private final AtomicBoolean draining;

    private HttpServer(Channel listener, ChannelGroup connections, AtomicBoolean draining) {
        this.listener = listener;
        this.connections = connections;
        this.draining = draining;
    }

    /**
     * Starts a builder.
     *
     * @param group the event loops of all connections
     * @param handler who answers
     * @return the builder
     */
    public static Builder builder(EventLoopGroup group, HttpHandler handler) {
        return new Builder(group, handler);
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address, with the port that was chosen
     */
    public HostPort address() {
        var a = (java.net.InetSocketAddress) listener.localAddress();
        return new HostPort(a.getAddress().getHostAddress(), a.getPort());
    }

    /** Accepts no more connections; open ones go on. */
    public void stopAccepting() {
        listener.close().syncUninterruptibly();
    }

    /** Closes each connection after its next answer, so that callers go elsewhere. */
    public void beginDrain() {
        draining.set(true);
    }

    /**
     * Accepts no more connections and closes each open one as soon as all its calls are answered.
     *
     * @param timeoutMs how long to wait for that, in milliseconds; what is left is closed then
     * @return done when all connections are closed
     */
    public CompletableFuture<Void> drain(long timeoutMs) {
        beginDrain();
        listener.close();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        connections.newCloseFuture().addListener(f -> closed.complete(null));
        for (Channel c : connections) {
            c.pipeline().fireUserEventTriggered(HttpServerConnection.DRAIN);
        }
        return closed.completeOnTimeout(null, timeoutMs, TimeUnit.MILLISECONDS).thenRun(connections::close);
    }

    /**
     * Returns how many connections are open.
     *
     * @return connections
     */
    public int connections() {
        return connections.size();
    }

    /** Closes the listener and all connections at once. */
    @Override
    public void close() {
        stopAccepting();
        connections.close().syncUninterruptibly();
    }

    /** Builds and opens a server. */
    public static final class Builder {

        private final EventLoopGroup group;
        private final HttpHandler handler;
        private int maxHeaderBytes = 16 << 10;
        private int maxBodyBytes = 32 << 20;
        private int maxConnections = 10_000;
        private long maxBufferedBytes = 256L << 20;
        private long requestTimeoutMs = 30_000;
        private long idleTimeoutMs = 120_000;
        private long writeTimeoutMs = 30_000;
        private HttpErrorFormat errors = (status, detail) -> HttpReply.text(status, "text/plain", detail + "\n");

        private Builder(EventLoopGroup group, HttpHandler handler) {
            this.group = Objects.requireNonNull(group, "group");
            this.handler = Objects.requireNonNull(handler, "handler");
        }

        /**
         * Sets the bound of a request's header.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maxHeaderBytes(int value) {
            maxHeaderBytes = value;
            return this;
        }

        /**
         * Sets the bound of a request's body; a larger one is answered with 413.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maxBodyBytes(int value) {
            maxBodyBytes = value;
            return this;
        }

        /**
         * Sets how many connections are open at once; more are closed at once.
         *
         * @param value connections
         * @return this builder
         */
        public Builder maxConnections(int value) {
            maxConnections = value;
            return this;
        }

        /**
         * Sets after what time a connection without a pending call is closed if nothing arrives.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder idleTimeoutMs(long value) {
            idleTimeoutMs = value;
            return this;
        }

        /**
         * Sets how many bytes the bodies of all unanswered requests hold at most; more are answered with 503.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maxBufferedBytes(long value) {
            maxBufferedBytes = value;
            return this;
        }

        /**
         * Sets within what time of its first byte a request must be there as a whole.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder requestTimeoutMs(long value) {
            requestTimeoutMs = value;
            return this;
        }

        /**
         * Sets how long a client may take to read a response.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder writeTimeoutMs(long value) {
            writeTimeoutMs = value;
            return this;
        }

        /**
         * Sets how requests that reach no handler are answered.
         *
         * @param value the format
         * @return this builder
         */
        public Builder errorFormat(HttpErrorFormat value) {
            errors = value;
            return this;
        }

        /**
         * Opens the server.
         *
         * @param address where to listen
         * @return the open server
         */
        public HttpServer open(HostPort address) {
            ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
            AtomicBoolean draining = new AtomicBoolean();
            ServerBootstrap bootstrap = new ServerBootstrap();
            KeepAlive.apply(bootstrap);
            Channel listener = bootstrap
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new Initializer(this, connections, draining))
                    .bind(address.toSocketAddress())
                    .syncUninterruptibly()
                    .channel();
            return new HttpServer(listener, connections, draining);
        }
    }

    private static final class Initializer extends ChannelInitializer<Channel> {

        private static final int MAX_LINE_BYTES = 8 << 10;
        private static final int MAX_CHUNK_BYTES = 64 << 10;

        private final Builder settings;
        private final ChannelGroup connections;
        private final AtomicBoolean draining;
        private final BodyBudget budget;
        private final AtomicInteger open = new AtomicInteger();

        Initializer(Builder settings, ChannelGroup connections, AtomicBoolean draining) {
            this.settings = settings;
            this.connections = connections;
            this.draining = draining;
            this.budget = new BodyBudget(settings.maxBufferedBytes);
        }

        @Override
        protected void initChannel(Channel channel) {
            int now = open.incrementAndGet();
            channel.closeFuture().addListener(f -> open.decrementAndGet());
            if (now > settings.maxConnections) {
                channel.close();
                return;
            }
            connections.add(channel);
            HttpDecoderConfig decoder = new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                    .setMaxHeaderSize(settings.maxHeaderBytes)
                    .setMaxChunkSize(MAX_CHUNK_BYTES);
            RequestTimer timer = new RequestTimer(settings.requestTimeoutMs);
            channel.pipeline()
                    .addLast(new IdleStateHandler(0, 0, settings.idleTimeoutMs, TimeUnit.MILLISECONDS))
                    .addLast(new WriteTimeoutHandler(settings.writeTimeoutMs, TimeUnit.MILLISECONDS))
                    .addLast(timer)
                    .addLast(new HttpServerCodec(decoder))
                    .addLast(new BodyBudgetHandler(budget))
                    .addLast(new RequestAggregator(settings.maxBodyBytes, settings.errors, timer))
                    .addLast(new FlowControlHandler())
                    .addLast(new HttpServerConnection(settings.handler, settings.errors, timer, draining));
        }
    }
}
