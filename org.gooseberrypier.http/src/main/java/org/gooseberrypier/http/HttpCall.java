package org.gooseberrypier.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;

/** One request to an {@link HttpServer}, with the means to answer it. */
public final class HttpCall {

    private final String method;
    private final String target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;
    private final long arrivedNanos;
    private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    private final CompletableFuture<Void> disconnected = new CompletableFuture<>();

    HttpCall(FullHttpRequest request, long arrivedNanos) {
        method = request.method().name();
        target = request.uri();
        headers = request.headers();
        body = ByteBufUtil.getBytes(request.content());
        keepAlive = HttpUtil.isKeepAlive(request);
        this.arrivedNanos = arrivedNanos;
    }

    /** Creates a placeholder for a refused request, which is never passed to a handler. */
    HttpCall() {
        method = "";
        target = "";
        headers = EmptyHttpHeaders.INSTANCE;
        body = new byte[0];
        keepAlive = false;
        arrivedNanos = System.nanoTime();
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method in upper case
     */
    public String method() {
        return method;
    }

    /**
     * Returns the request target, which includes the query.
     *
     * @return the target as it was sent
     */
    public String target() {
        return target;
    }

    /**
     * Returns a header field.
     *
     * @param name the name, case-insensitive
     * @return its first value, empty if the request does not contain the field
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns all values of a header field.
     *
     * @param name the name, case-insensitive
     * @return its values in the order of the request, empty if there are none
     */
    public List<String> headers(String name) {
        return headers.getAll(name);
    }

    /**
     * Returns the request body.
     *
     * @return the bytes, not a copy; callers must not change them
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the earliest time at which the first byte of the request may have arrived at this machine, as far as is known.
     *
     * @return the time by {@link System#nanoTime}
     */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /**
     * Sends the reply; only the first reply to a request is sent, further ones are ignored.
     *
     * @param value the reply
     */
    public void reply(HttpReply value) {
        reply.complete(value);
    }

    /**
     * Runs an action if the connection closes before the request is answered, immediately if it is closed already.
     *
     * @param action the action; it runs on the event loop of the connection or on the calling thread
     */
    public void onDisconnect(Runnable action) {
        disconnected.thenRun(action);
    }

    CompletableFuture<HttpReply> replyFuture() {
        return reply;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    void setDisconnected() {
        if (!reply.isDone()) {
            disconnected.complete(null);
        }
    }
}
