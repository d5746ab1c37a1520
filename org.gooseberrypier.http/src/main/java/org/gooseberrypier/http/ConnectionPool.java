package org.gooseberrypier.http;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Pools the connections of a client to one address and queues requests while no connection is free.
 *
 * <p>All state is confined to one event loop. {@link #send}, {@link #setMaxConnections}, {@link #drain} and
 * {@link #closeIdleConnections} may be called from any thread.
 */
final class ConnectionPool {

    private final EventLoop loop;
    private final HostPort address;
    private final HttpClient.Limits limits;
    private final Bootstrap bootstrap;
    private final Deque<HttpClientConnection> idle = new ArrayDeque<>();
    private final Deque<PendingRequest> waiting = new ArrayDeque<>();
    private int maxConnections;
    private int open;
    private int connecting;
    private boolean draining;
    private ScheduledFuture<?> sweep;

    ConnectionPool(EventLoop loop, HostPort address, int maxConnections, HttpClient.Limits limits) {
        this.loop = loop;
        this.address = address;
        this.limits = limits;
        this.maxConnections = maxConnections;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.connectTimeoutMs())
                .handler(new Initializer());
        KeepAlive.apply(bootstrap);
    }

    CompletableFuture<HttpReply> send(HttpRequestSpec request) {
        PendingRequest pending = new PendingRequest(request);
        loop.execute(() -> enqueue(pending));
        return pending.reply;
    }

    void setMaxConnections(int value) {
        loop.execute(() -> {
            maxConnections = value;
            sendWaiting();
        });
    }

    void drain() {
        loop.execute(() -> {
            draining = true;
            closeIdle();
        });
    }

    void closeIdleConnections() {
        loop.execute(this::closeIdle);
    }

    void release(HttpClientConnection connection) {
        if (draining && waiting.isEmpty() || open > maxConnections) {
            connection.close();
            return;
        }
        connection.setIdleSince(System.nanoTime());
        idle.push(connection);
        sendWaiting();
        scheduleSweep();
    }

    void remove(HttpClientConnection connection) {
        open--;
        idle.remove(connection);
        sendWaiting();
    }

    HostPort address() {
        return address;
    }

    private void enqueue(PendingRequest pending) {
        boolean full = open >= maxConnections && idle.isEmpty();
        if (full && waiting.size() - connecting >= limits.maxWaitingRequests()) {
            pending.failUnsent(address + ": " + waiting.size() + " requests wait for a connection");
            return;
        }
        long timeoutMs = pending.request.timeoutMs();
        pending.timeout = loop.schedule(() -> expire(pending), timeoutMs, TimeUnit.MILLISECONDS);
        waiting.add(pending);
        sendWaiting();
    }

    private void expire(PendingRequest pending) {
        if (waiting.remove(pending)) {
            pending.failUnsent(address + ": no connection within " + pending.request.timeoutMs() + " ms");
        } else if (pending.connection != null) {
            pending.connection.expire(pending);
        }
    }

    private void closeIdle() {
        for (HttpClientConnection c : new ArrayList<>(idle)) {
            c.close();
        }
    }

    private void sendWaiting() {
        while (!waiting.isEmpty()) {
            HttpClientConnection connection = pollUsable();
            if (connection == null) {
                break;
            }
            connection.send(waiting.poll());
        }
        while (connecting < waiting.size() && open < maxConnections) {
            connect();
        }
    }

    private HttpClientConnection pollUsable() {
        HttpClientConnection next = idle.poll();
        while (next != null && !isUsable(next)) {
            next.close();
            next = idle.poll();
        }
        return next;
    }

    private boolean isUsable(HttpClientConnection connection) {
        return connection.isActive() && idleMs(connection) < limits.maxIdleMs();
    }

    private static long idleMs(HttpClientConnection connection) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connection.idleSince());
    }

    private void scheduleSweep() {
        if (sweep == null && !idle.isEmpty()) {
            sweep = loop.schedule(this::sweep, limits.maxIdleMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        sweep = null;
        for (HttpClientConnection c : new ArrayList<>(idle)) {
            if (!isUsable(c)) {
                c.close();
            }
        }
        scheduleSweep();
    }

    private void connect() {
        open++;
        connecting++;
        ChannelFuture future = bootstrap.connect(address.toSocketAddress());
        future.addListener(f -> {
            connecting--;
            if (f.isSuccess()) {
                release(future.channel().pipeline().get(HttpClientConnection.class));
            } else {
                open--;
                failOldest(f.cause());
                sendWaiting();
            }
        });
    }

    private void failOldest(Throwable cause) {
        PendingRequest first = waiting.poll();
        if (first != null) {
            first.failUnsent(address + ": " + cause, isRefusal(cause));
        }
    }

    /** The type alone does not tell: a connection that times out fails with the same one. */
    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException
                && cause.getMessage() != null
                && cause.getMessage().startsWith("Connection refused");
    }

    private final class Initializer extends ChannelInitializer<Channel> {

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new ReplyLengthCheck())
                    .addLast(new HttpObjectAggregator(limits.maxReplyBytes()))
                    .addLast(new HttpClientConnection(ConnectionPool.this));
        }
    }

    /** A request that waits for a connection or for its reply, with the timer of its timeout. */
    static final class PendingRequest {

        private final HttpRequestSpec request;
        private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        private ScheduledFuture<?> timeout;
        private HttpClientConnection connection;

        PendingRequest(HttpRequestSpec request) {
            this.request = request;
        }

        HttpRequestSpec request() {
            return request;
        }

        void setConnection(HttpClientConnection value) {
            connection = value;
        }

        void complete(HttpReply value) {
            cancelTimeout();
            reply.complete(value);
        }

        void failUnsent(String message) {
            failUnsent(message, false);
        }

        void failUnsent(String message, boolean refused) {
            cancelTimeout();
            reply.completeExceptionally(new NotSentException(message, refused));
        }

        void failUnanswered(String message) {
            cancelTimeout();
            reply.completeExceptionally(new NoReplyException(message));
        }

        private void cancelTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }
    }
}
