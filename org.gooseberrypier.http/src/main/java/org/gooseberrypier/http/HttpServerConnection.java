package org.gooseberrypier.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;

/** Handles one server connection: passes its requests to the handler and writes the replies in request order. */
final class HttpServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /**
     * User event that closes an idle connection. A connection with pending requests closes after its last reply, since
     * {@code draining} is set before the event is fired.
     */
    static final Object DRAIN = new Object();

    /** User event that refuses the request being received, since it exceeds the {@link BodyBudget} of the listener. */
    static final Refusal OVER_BUDGET = new Refusal(503, "too many bytes of requests are held here");

    private static final long LINGER_MS = 1_000;
    private static final int MAX_PIPELINED_REQUESTS = 16;
    private static final int BAD_REQUEST = 400;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADER_TOO_LARGE = 431;

    private final HttpHandler handler;
    private final HttpErrorFormat errors;
    private final RequestTimer timer;
    private final AtomicBoolean draining;
    private final Deque<HttpCall> pending = new ArrayDeque<>();
    private boolean closing;

    HttpServerConnection(HttpHandler handler, HttpErrorFormat errors, RequestTimer timer, AtomicBoolean draining) {
        this.handler = handler;
        this.errors = errors;
        this.timer = timer;
        this.draining = draining;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (closing) {
            return;
        }
        if (request.decoderResult().isFailure()) {
            refuse(context, refusal(request.decoderResult().cause()));
            return;
        }
        HttpCall call = new HttpCall(request, timer.takeArrivalNanos());
        pending.add(call);
        call.replyFuture().thenRun(() -> context.executor().execute(() -> flush(context)));
        updateAutoRead(context);
        handler.handle(call);
    }

    private static Refusal refusal(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return new Refusal(HEADER_TOO_LARGE, "the header is too large");
        }
        if (cause instanceof TooLongHttpLineException) {
            return new Refusal(URI_TOO_LONG, "the request line is too long");
        }
        return new Refusal(BAD_REQUEST, "malformed HTTP");
    }

    /** Sends the replies to the pending requests, then the refusal, then closes the connection. */
    private void refuse(ChannelHandlerContext context, Refusal refusal) {
        if (closing) {
            return;
        }
        closing = true;
        timer.stop();
        HttpCall call = new HttpCall();
        call.reply(errors.format(refusal.status(), refusal.detail()));
        pending.add(call);
        flush(context);
    }

    private void flush(ChannelHandlerContext context) {
        boolean open = context.channel().isActive();
        HttpCall first = pending.peek();
        while (open && first != null && first.replyFuture().isDone()) {
            pending.poll();
            open = write(context, first);
            first = pending.peek();
        }
        if (!open) {
            notifyDisconnected();
        }
        updateAutoRead(context);
    }

    private boolean write(ChannelHandlerContext context, HttpCall call) {
        context.pipeline().get(BodyBudgetHandler.class).release(call.body().length);
        boolean last = pending.isEmpty() && (draining.get() || closing);
        boolean keepAlive = call.isKeepAlive() && !last;
        var future =
                context.writeAndFlush(HttpResponses.encode(call.replyFuture().join(), keepAlive));
        if (!keepAlive) {
            future.addListener(closing ? this::closeAfterRefusal : ChannelFutureListener.CLOSE);
            closing = true;
        }
        return keepAlive;
    }

    /**
     * Closes the connection {@link #LINGER_MS} after the refusal. The client may still be sending its request; an
     * immediate close would reset the connection before the client has read the refusal.
     */
    private void closeAfterRefusal(Future<?> written) {
        Channel channel = ((ChannelFuture) written).channel();
        ((DuplexChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void notifyDisconnected() {
        for (HttpCall c : pending) {
            c.setDisconnected();
        }
        pending.clear();
    }

    private void updateAutoRead(ChannelHandlerContext context) {
        boolean read =
                pending.size() < MAX_PIPELINED_REQUESTS && context.channel().isWritable();
        context.channel().config().setAutoRead(read);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        updateAutoRead(context);
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof Refusal r) {
            refuse(context, r);
        } else if (event == DRAIN || event instanceof IdleStateEvent) {
            context.executor().execute(() -> closeIfIdle(context));
        }
    }

    private void closeIfIdle(ChannelHandlerContext context) {
        if (pending.isEmpty() && !closing) {
            closing = true;
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        notifyDisconnected();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /**
     * User event that makes the server answer a request with an error instead of passing it to the handler.
     *
     * @param status the HTTP status code
     * @param detail a readable description in one line
     */
    record Refusal(int status, String detail) {}
}
