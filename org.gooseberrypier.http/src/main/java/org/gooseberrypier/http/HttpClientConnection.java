package org.gooseberrypier.http;

import java.util.Map;
import java.util.TreeMap;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Writes requests to one client connection and reads their replies, at most one request at a time. */
final class HttpClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final ConnectionPool pool;
    private ChannelHandlerContext context;
    private ConnectionPool.PendingRequest pending;
    private long idleSince;

    HttpClientConnection(ConnectionPool pool) {
        this.pool = pool;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    void send(ConnectionPool.PendingRequest next) {
        FullHttpRequest request;
        try {
            request = encode(next.request());
        } catch (IllegalArgumentException e) {
            next.failUnsent(pool.address() + ": not a request: " + e.getMessage());
            pool.release(this);
            return;
        }
        pending = next;
        next.setConnection(this);
        context.writeAndFlush(request).addListener(f -> {
            if (!f.isSuccess()) {
                fail("write failed: " + f.cause());
            }
        });
    }

    boolean isActive() {
        return context.channel().isActive();
    }

    long idleSince() {
        return idleSince;
    }

    void setIdleSince(long nanoTime) {
        idleSince = nanoTime;
    }

    void expire(ConnectionPool.PendingRequest expired) {
        if (pending == expired) {
            fail("no reply within " + expired.request().timeoutMs() + " ms");
        }
    }

    void close() {
        context.close();
    }

    private FullHttpRequest encode(HttpRequestSpec spec) {
        var request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(spec.method()),
                spec.target(),
                Unpooled.wrappedBuffer(spec.body()));
        for (Map.Entry<String, String> h : spec.headers().entrySet()) {
            request.headers().set(h.getKey(), h.getValue());
        }
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, pool.address().toString());
        }
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, spec.body().length);
        return request;
    }

    private void fail(String message) {
        ConnectionPool.PendingRequest failed = pending;
        pending = null;
        if (failed != null) {
            failed.failUnanswered(pool.address() + ": " + message);
        }
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ignored, FullHttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail("malformed reply: " + response.decoderResult().cause());
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        ConnectionPool.PendingRequest done = pending;
        if (done == null) {
            context.close();
            return;
        }
        pending = null;
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        response.headers().forEach(h -> headers.putIfAbsent(h.getKey(), h.getValue()));
        boolean keepAlive = HttpUtil.isKeepAlive(response);
        done.complete(new HttpReply(response.status().code(), headers, ByteBufUtil.getBytes(response.content())));
        if (keepAlive) {
            pool.release(this);
        } else {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        fail("connection closed before the reply");
        pool.remove(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        fail(cause.toString());
    }
}
