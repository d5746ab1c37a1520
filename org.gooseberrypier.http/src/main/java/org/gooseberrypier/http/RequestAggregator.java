package org.gooseberrypier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;

/** Aggregates the parts of a request; an oversized body is refused in the error format of the listener. */
final class RequestAggregator extends HttpObjectAggregator {

    private static final int TOO_LARGE = 413;
    private static final int EXPECTATION_FAILED = 417;

    private final HttpErrorFormat errors;
    private final RequestTimer timer;

    RequestAggregator(int maxBodyBytes, HttpErrorFormat errors, RequestTimer timer) {
        super(maxBodyBytes);
        this.errors = errors;
        this.timer = timer;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        timer.onRequestBegan();
        return super.beginAggregation(start, content);
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        timer.onRequestComplete();
        super.finishAggregation(aggregated);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        context.fireUserEventTriggered(new HttpServerConnection.Refusal(TOO_LARGE, detail()));
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxBodyBytes, ChannelPipeline pipeline) {
        Object response = super.newContinueResponse(start, maxBodyBytes, pipeline);
        if (!(response instanceof FullHttpResponse r) || r.status().codeClass() != HttpStatusClass.CLIENT_ERROR) {
            return response;
        }
        r.release();
        boolean tooLarge = r.status().code() == TOO_LARGE;
        return HttpResponses.encode(
                errors.format(tooLarge ? TOO_LARGE : EXPECTATION_FAILED, tooLarge ? detail() : "unknown expectation"),
                false);
    }

    @Override
    protected boolean closeAfterContinueResponse(Object response) {
        return ignoreContentAfterContinueResponse(response);
    }

    private String detail() {
        return "the body is larger than " + maxContentLength() + " bytes";
    }
}
