package org.gooseberrypier.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongUnaryOperator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.ChannelGroupFuture;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;

/** Listens on one address and passes each complete request to a handler. */
public final class HttpServer implements AutoCloseable {

    private static final int BACKLOG = 1024;

    private final Channel listener;
    private final ChannelGroup connections;
    private final AtomicBoolean draining;
    private final List<Future<?>> timers;

    private HttpServer(Channel listener, ChannelGroup connections, AtomicBoolean draining, List<Future<?>> timers) {
        this.listener = listener;
        this.connections = connections;
        this.draining = draining;
        this.timers = timers;
    }

    /**
     * Creates a builder with default limits.
     *
     * @param group the event loops of all connections; the server does not shut it down
     * @param handler answers the requests
     * @return the builder
     */
    public static Builder builder(EventLoopGroup group, HttpHandler handler) {
        return new Builder(group, handler);
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address with the actual port, also if it was opened with port 0
     */
    public HostPort address() {
        var a = (java.net.InetSocketAddress) listener.localAddress();
        return new HostPort(a.getAddress().getHostAddress(), a.getPort());
    }

    /** Stops accepting connections; open connections remain usable. */
    public void stopAccepting() {
        listener.close().syncUninterruptibly();
    }

    /**
     * Closes each connection after its next reply that leaves no request pending, so that clients connect to another
     * server. Idle connections stay open, and new ones are accepted.
     */
    public void beginDrain() {
        draining.set(true);
    }

    /**
     * Stops accepting connections and closes each open one when all its requests are answered.
     *
     * @param timeoutMs the timeout in milliseconds after which the remaining connections are closed
     * @return completes when all connections are closed or the timeout has passed
     */
    public CompletableFuture<Void> drain(long timeoutMs) {
        beginDrain();
        listener.close();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        connections.newCloseFuture().addListener(f -> closed.complete(null));
        for (Channel c : connections) {
            c.pipeline().fireUserEventTriggered(HttpServerConnection.DRAIN);
        }
        return closed.completeOnTimeout(null, timeoutMs, TimeUnit.MILLISECONDS).thenRun(this::closeConnections);
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number of connections
     */
    public int connections() {
        return connections.size();
    }

    /** Closes the listener and all connections without waiting for pending replies. */
    @Override
    public void close() {
        stopAccepting();
        closeConnections().syncUninterruptibly();
    }

    private ChannelGroupFuture closeConnections() {
        timers.forEach(t -> t.cancel(false));
        return connections.close();
    }

    /** Builds and opens an {@link HttpServer}. */
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
        private boolean countsBlockedLoops;
        private HttpErrorFormat errors = (status, detail) -> HttpReply.text(status, "text/plain", detail + "\n");

        private Builder(EventLoopGroup group, HttpHandler handler) {
            this.group = Objects.requireNonNull(group, "group");
            this.handler = Objects.requireNonNull(handler, "handler");
        }

        /**
         * Sets the maximum size of the header of a request; a larger one is answered with 431.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maxHeaderBytes(int value) {
            maxHeaderBytes = value;
            return this;
        }

        /**
         * Sets the maximum size of the body of a request; a larger one is answered with 413.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maxBodyBytes(int value) {
            maxBodyBytes = value;
            return this;
        }

        /**
         * Sets the maximum number of open connections; further ones are closed without a reply.
         *
         * @param value connections
         * @return this builder
         */
        public Builder maxConnections(int value) {
            maxConnections = value;
            return this;
        }

        /**
         * Sets the idle timeout: a connection without pending requests is closed if nothing is received or sent for
         * this time.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder idleTimeoutMs(long value) {
            idleTimeoutMs = value;
            return this;
        }

        /**
         * Sets the maximum total size of the bodies of all unanswered requests; a request that would exceed it is
         * answered with 503.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maxBufferedBytes(long value) {
            maxBufferedBytes = value;
            return this;
        }

        /**
         * Sets the timeout from the first byte of a request to its last; a slower request is answered with 408.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder requestTimeoutMs(long value) {
            requestTimeoutMs = value;
            return this;
        }

        /**
         * Sets the timeout for writing a response; the connection of a client that reads too slowly is closed.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder writeTimeoutMs(long value) {
            writeTimeoutMs = value;
            return this;
        }

        /**
         * Makes {@link HttpCall#arrivedNanos} include time during which the event loops are blocked; a task that runs each
         * 20 ms on each of them notices that. Time in the accept queue is included only if one event loop serves all connections.
         *
         * @return this builder
         */
        public Builder countBlockedLoops() {
            countsBlockedLoops = true;
            return this;
        }

        /**
         * Sets the format of the replies to requests that the server refuses before they reach the handler.
         *
         * @param value the format
         * @return this builder
         */
        public Builder errorFormat(HttpErrorFormat value) {
            errors = value;
            return this;
        }

        /**
         * Opens the server; blocks until it listens.
         *
         * @param address the address to listen on; port 0 chooses a free port
         * @return the open server
         */
        public HttpServer open(HostPort address) {
            ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
            AtomicBoolean draining = new AtomicBoolean();
            Map<EventExecutor, LoopStalls> stalls = new HashMap<>();
            List<Future<?>> timers = new ArrayList<>();
            if (countsBlockedLoops) {
                group.forEach(loop -> timers.add(watch(loop, stalls)));
            }
            ServerBootstrap bootstrap = new ServerBootstrap();
            KeepAlive.apply(bootstrap);
            Channel listener = bootstrap
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new Initializer(this, connections, draining, stalls))
                    .bind(address.toSocketAddress())
                    .syncUninterruptibly()
                    .channel();
            return new HttpServer(listener, connections, draining, timers);
        }

        private static Future<?> watch(EventExecutor loop, Map<EventExecutor, LoopStalls> stalls) {
            LoopStalls s = new LoopStalls(System.nanoTime());
            stalls.put(loop, s);
            return loop.scheduleWithFixedDelay(
                    () -> s.onRun(System.nanoTime()),
                    LoopStalls.INTERVAL_MS,
                    LoopStalls.INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private static final class Initializer extends ChannelInitializer<Channel> {

        private static final int MAX_LINE_BYTES = 8 << 10;
        private static final int MAX_CHUNK_BYTES = 64 << 10;

        private final Builder settings;
        private final ChannelGroup connections;
        private final AtomicBoolean draining;
        private final Map<EventExecutor, LoopStalls> stalls;
        private final BodyBudget budget;
        private final AtomicInteger open = new AtomicInteger();

        Initializer(
                Builder settings,
                ChannelGroup connections,
                AtomicBoolean draining,
                Map<EventExecutor, LoopStalls> stalls) {
            this.settings = settings;
            this.connections = connections;
            this.draining = draining;
            this.stalls = stalls;
            this.budget = new BodyBudget(settings.maxBufferedBytes);
        }

        private LongUnaryOperator earliestArrival(Channel channel) {
            LoopStalls s = stalls.get(channel.eventLoop());
            return s == null ? LongUnaryOperator.identity() : s::earliestArrivalNanos;
        }

        @Override
        protected void initChannel(Channel channel) {
            int openNow = open.incrementAndGet();
            channel.closeFuture().addListener(f -> open.decrementAndGet());
            if (openNow > settings.maxConnections) {
                channel.close();
                return;
            }
            connections.add(channel);
            HttpDecoderConfig decoder = new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                    .setMaxHeaderSize(settings.maxHeaderBytes)
                    .setMaxChunkSize(MAX_CHUNK_BYTES);
            RequestTimer timer = new RequestTimer(settings.requestTimeoutMs, earliestArrival(channel));
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
