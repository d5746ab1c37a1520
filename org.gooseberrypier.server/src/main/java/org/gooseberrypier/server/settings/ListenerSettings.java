package org.gooseberrypier.server.settings;

import org.gooseberrypier.http.HttpServer;

/**
 * The limits of an HTTP listener.
 *
 * @param maxHeaderBytes maximum size of the header of a request, in bytes
 * @param maxBodyBytes maximum size of the body of a request, in bytes
 * @param maxConnections maximum number of open connections; further connections are closed
 * @param requestTimeoutMs time within which a request must be received completely, in milliseconds
 * @param idleTimeoutMs time after which a connection without a call is closed, in milliseconds
 * @param writeTimeoutMs time within which the client must read a response, in milliseconds
 */
public record ListenerSettings(
        int maxHeaderBytes,
        int maxBodyBytes,
        int maxConnections,
        long requestTimeoutMs,
        long idleTimeoutMs,
        long writeTimeoutMs) {

    /**
     * Applies the limits to a server builder.
     *
     * @param server the server builder
     * @return the builder
     */
    public HttpServer.Builder apply(HttpServer.Builder server) {
        return server.maxHeaderBytes(maxHeaderBytes)
                .maxBodyBytes(maxBodyBytes)
                .maxConnections(maxConnections)
                .requestTimeoutMs(requestTimeoutMs)
                .idleTimeoutMs(idleTimeoutMs)
                .writeTimeoutMs(writeTimeoutMs);
    }
}
