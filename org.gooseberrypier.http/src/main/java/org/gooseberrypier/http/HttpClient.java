package org.gooseberrypier.http;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.EventLoopGroup;

/**
 * Sends HTTP/1.1 requests over pooled connections, without pipelining.
 *
 * <p>A request fails with a {@link NotSentException} only if the server cannot have received any of it, and otherwise
 * with a {@link NoReplyException}. The client never repeats a request.
 */
public final class HttpClient implements AutoCloseable {

    private final EventLoopGroup group;
    private final int maxConnectionsPerAddress;
    private final Limits limits;
    private final Map<HostPort, ConnectionPool> pools = new ConcurrentHashMap<>();

    private HttpClient(Builder builder) {
        group = builder.group;
        maxConnectionsPerAddress = builder.maxConnectionsPerAddress;
        limits = new Limits(
                builder.connectTimeoutMs, builder.maxWaitingPerAddress, builder.maxIdleMs, builder.maxReplyBytes);
    }

    /**
     * Creates a builder with default limits.
     *
     * @param group the event loops of all connections; the client does not shut it down
     * @return the builder
     */
    public static Builder builder(EventLoopGroup group) {
        return new Builder(group);
    }

    /**
     * Sends a request.
     *
     * @param address the address of the server
     * @param request the request
     * @return completes with the reply, or fails with a {@link NotSentException} or a {@link NoReplyException}
     */
    public CompletableFuture<HttpReply> send(HostPort address, HttpRequestSpec request) {
        return pool(address).send(request);
    }

    /**
     * Sets the maximum number of open connections to one address.
     *
     * @param address the address of the server
     * @param value connections, at least 1
     */
    public void setMaxConnections(HostPort address, int value) {
        pool(address).setMaxConnections(value);
    }

    /**
     * Closes the idle connections to an address, so that the next requests open new ones.
     *
     * @param address the address of the server
     */
    public void closeIdleConnections(HostPort address) {
        pool(address).closeIdleConnections();
    }

    /**
     * Closes all connections to an address: idle ones now, those in use after all pending requests have ended.
     *
     * @param address the address of the server
     */
    public void drain(HostPort address) {
        ConnectionPool pool = pools.remove(address);
        if (pool != null) {
            pool.drain();
        }
    }

    @Override
    public void close() {
        for (HostPort a : pools.keySet()) {
            drain(a);
        }
    }

    private ConnectionPool pool(HostPort address) {
        return pools.computeIfAbsent(
                address, a -> new ConnectionPool(group.next(), a, maxConnectionsPerAddress, limits));
    }

    /**
     * Limits that apply to each address.
     *
     * @param connectTimeoutMs the timeout for opening a connection, in milliseconds
     * @param maxWaitingRequests the maximum number of requests that wait for a connection
     * @param maxIdleMs how long a connection may be idle and still be used, in milliseconds
     * @param maxReplyBytes the maximum size of the body of a reply, in bytes
     */
    record Limits(long connectTimeoutMs, int maxWaitingRequests, long maxIdleMs, int maxReplyBytes) {}

    /** Builds an {@link HttpClient}. */
    public static final class Builder {

        private final EventLoopGroup group;
        private int maxConnectionsPerAddress = 64;
        private long connectTimeoutMs = 2_000;
        private int maxWaitingPerAddress = 10_000;
        private long maxIdleMs = 10_000;
        private int maxReplyBytes = 32 << 20;

        private Builder(EventLoopGroup group) {
            this.group = Objects.requireNonNull(group, "group");
        }

        /**
         * Sets the maximum number of open connections to one address; further requests wait for a free one.
         *
         * @param value connections
         * @return this builder
         */
        public Builder maxConnectionsPerAddress(int value) {
            maxConnectionsPerAddress = value;
            return this;
        }

        /**
         * Sets the timeout for opening a connection.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder connectTimeoutMs(long value) {
            connectTimeoutMs = value;
            return this;
        }

        /**
         * Sets the maximum number of requests that wait for a connection to one address; further ones fail with
         * {@link NotSentException}.
         *
         * @param value requests
         * @return this builder
         */
        public Builder maxWaitingRequestsPerAddress(int value) {
            maxWaitingPerAddress = value;
            return this;
        }

        /**
         * Sets how long a connection may be idle; after that it is closed and no request is sent on it.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder maxIdleMs(long value) {
            maxIdleMs = value;
            return this;
        }

        /**
         * Sets the maximum size of the body of a reply.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maxReplyBytes(int value) {
            maxReplyBytes = value;
            return this;
        }

        /**
         * Builds the client.
         *
         * @return the client
         */
        public HttpClient build() {
            return new HttpClient(this);
        }
    }
}
