package org.gooseberrypier.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;

/** Refuses a request with 408 if its last byte does not arrive within a timeout after its first byte. */
final class RequestTimer extends ChannelInboundHandlerAdapter {

    private static final int REQUEST_TIMEOUT_STATUS = 408;

    private final long timeoutMs;
    private ScheduledFuture<?> timer;

    RequestTimer(long timeoutMs) {
        this.timeoutMs = timeoutMs;
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (timer == null) {
            timer = context.executor().schedule(() -> expire(context), timeoutMs, TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stop();
        context.fireChannelInactive();
    }

    private void expire(ChannelHandlerContext context) {
        timer = null;
        context.fireUserEventTriggered(new HttpServerConnection.Refusal(
                REQUEST_TIMEOUT_STATUS, "the request was not there as a whole within " + timeoutMs + " ms"));
    }
}
