package org.gooseberrypier.http;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.EventLoopGroup;

/**
 * Sends requests over pooled connections, one request at a time on each.
 *
 * <p>A failed future holds a {@link NotSentException} only where the server cannot have seen the request, else a
 * {@link NoReplyException}. Nothing is sent twice.
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
     * Starts a builder.
     *
     * @param group the event loops of all connections
     * @return the builder
     */
    public static Builder builder(EventLoopGroup group) {
        return new Builder(group);
    }

    /**
     * Sends a request.
     *
     * @param address where to
     * @param request the request
     * @return the reply
     */
    public CompletableFuture<HttpReply> send(HostPort address, HttpRequestSpec request) {
        return pool(address).send(request);
    }

    /**
     * Sets how many connections to one address are open at once.
     *
     * @param address the address
     * @param value connections, at least 1
     */
    public void setMaxConnections(HostPort address, int value) {
        pool(address).setMaxConnections(value);
    }

    /**
     * Closes the idle connections of an address, so that the next requests open new ones.
     *
     * @param address the address
     */
    public void closeIdleConnections(HostPort address) {
        pool(address).closeIdleConnections();
    }

    /**
     * Closes the idle connections of an address; calls in flight end first.
     *
     * @param address the address
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

    /** What holds for the connections to every address. */
    record Limits(long connectTimeoutMs, int maxWaitingRequests, long maxIdleMs, int maxReplyBytes) {}

    /** Builds a client. */
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
         * Sets how many connections to one address are open at once; further requests wait.
         *
         * @param value connections
         * @return this builder
         */
        public Builder maxConnectionsPerAddress(int value) {
            maxConnectionsPerAddress = value;
            return this;
        }

        /**
         * Sets how long to wait for a connection.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder connectTimeoutMs(long value) {
            connectTimeoutMs = value;
            return this;
        }

        /**
         * Sets how many requests wait for a connection to one address at most; further ones fail unsent.
         *
         * @param value requests
         * @return this builder
         */
        public Builder maxWaitingRequestsPerAddress(int value) {
            maxWaitingPerAddress = value;
            return this;
        }

        /**
         * Sets how long a connection stays open without a request; an older one gets none any more.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder maxIdleMs(long value) {
            maxIdleMs = value;
            return this;
        }

        /**
         * Sets how large the body of a reply is at most.
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
