package org.gooseberrypier.http;

import java.util.Map;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Converts {@link HttpReply} to response messages of the Netty codec. */
final class HttpResponses {

    private HttpResponses() {}

    static FullHttpResponse encode(HttpReply reply, boolean keepAlive) {
        var response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        for (Map.Entry<String, String> h : reply.headers().entrySet()) {
            response.headers().set(h.getKey(), h.getValue());
        }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }
}
