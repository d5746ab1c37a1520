package org.gooseberrypier.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Acquires the bytes of the request bodies of one connection from the budget.
 *
 * <p>{@link HttpServerConnection} releases the bytes of a body when its request is answered; closing the connection
 * releases the rest. Once a body exceeds the budget, {@link HttpServerConnection#OVER_BUDGET} is fired and all further
 * input of the connection is discarded.
 */
final class BodyBudgetHandler extends ChannelInboundHandlerAdapter {

    private final BodyBudget budget;
    private long heldBytes;
    private boolean exceeded;

    BodyBudgetHandler(BodyBudget budget) {
        this.budget = budget;
    }

    void release(long bytes) {
        long released = Math.min(bytes, heldBytes);
        heldBytes -= released;
        budget.release(released);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (exceeded) {
            ReferenceCountUtil.release(message);
            return;
        }
        int sizeBytes = message instanceof HttpContent c ? c.content().readableBytes() : 0;
        if (sizeBytes > 0 && !budget.tryAcquire(sizeBytes)) {
            exceeded = true;
            ReferenceCountUtil.release(message);
            context.fireUserEventTriggered(HttpServerConnection.OVER_BUDGET);
            return;
        }
        heldBytes += sizeBytes;
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        release(heldBytes);
        context.fireChannelInactive();
    }
}
