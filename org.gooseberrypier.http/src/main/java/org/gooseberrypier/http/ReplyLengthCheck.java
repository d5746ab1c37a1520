package org.gooseberrypier.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/** Rejects replies whose end is marked only by the close of the connection: a truncated one would look complete. */
final class ReplyLengthCheck extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse r && !isFramed(r)) {
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(new IllegalStateException("a reply without a length"));
            return;
        }
        context.fireChannelRead(message);
    }

    private static boolean isFramed(HttpResponse response) {
        HttpResponseStatus status = response.status();
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || status.codeClass() == HttpStatusClass.INFORMATIONAL
                || status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
