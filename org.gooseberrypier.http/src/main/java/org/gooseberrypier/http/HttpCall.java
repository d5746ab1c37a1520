package org.gooseberrypier.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;

/** One call to an {@link HttpServer}: the request, and the way to answer it. */
public final class HttpCall {

    private final String method;
    private final String path;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;
    private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    private final CompletableFuture<Void> gone = new CompletableFuture<>();

    HttpCall(FullHttpRequest request) {
        method = request.method().name();
        path = request.uri();
        headers = request.headers();
        body = ByteBufUtil.getBytes(request.content());
        keepAlive = HttpUtil.isKeepAlive(request);
    }

    /** Creates the call of a request that reached no handler. */
    HttpCall() {
        method = "";
        path = "";
        headers = EmptyHttpHeaders.INSTANCE;
        body = new byte[0];
        keepAlive = false;
    }

    /**
     * Returns the method.
     *
     * @return the method in upper case
     */
    public String method() {
        return method;
    }

    /**
     * Returns the request target with its query.
     *
     * @return the target as it was sent
     */
    public String target() {
        return path;
    }

    /**
     * Returns a header field.
     *
     * @param name its name in any case
     * @return its first value, if it is there
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns all values of a header field.
     *
     * @param name its name in any case
     * @return its values in the order of the request
     */
    public List<String> headers(String name) {
        return headers.getAll(name);
    }

    /**
     * Returns the body.
     *
     * @return the bytes, not to be changed
     */
    public byte[] body() {
        return body;
    }

    /**
     * Answers the call; a second answer is dropped.
     *
     * @param value the answer
     */
    public void reply(HttpReply value) {
        reply.complete(value);
    }

    /**
     * Runs an action if the connection closes before the answer.
     *
     * @param action the action
     */
    public void onDisconnect(Runnable action) {
        gone.thenRun(action);
    }

    CompletableFuture<HttpReply> replyFuture() {
        return reply;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    void setDisconnected() {
        if (!reply.isDone()) {
            gone.complete(null);
        }
    }
}
