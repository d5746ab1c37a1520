package org.gooseberrypier.http;

/** Handles the requests of an {@link HttpServer}; the reply may be sent later and from any thread. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles one request. Runs on an event loop and must not block.
     *
     * @param call the request, which must be answered exactly once
     */
    void handle(HttpCall call);
}
