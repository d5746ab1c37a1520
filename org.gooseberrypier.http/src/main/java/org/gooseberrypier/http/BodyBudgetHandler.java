package org.gooseberrypier.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;

/** Takes the bytes of one connection's bodies from the budget until their requests are answered. */
final class BodyBudgetHandler extends ChannelInboundHandlerAdapter {

    private final BodyBudget budget;
    private long held;
    private boolean exceeded;

    BodyBudgetHandler(BodyBudget budget) {
        this.budget = budget;
    }

    void release(long bytes) {
        long released = Math.min(bytes, held);
        held -= released;
        budget.release(released);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (exceeded) {
            ReferenceCountUtil.release(message);
            return;
        }
        int size = message instanceof HttpContent c ? c.content().readableBytes() : 0;
        if (size > 0 && !budget.tryAcquire(size)) {
            exceeded = true;
            ReferenceCountUtil.release(message);
            context.fireUserEventTriggered(HttpServerConnection.OVER_BUDGET);
            return;
        }
        held += size;
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        release(held);
        context.fireChannelInactive();
    }
}
