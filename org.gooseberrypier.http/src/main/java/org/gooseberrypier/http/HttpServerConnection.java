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

/** One connection of a server: it answers pipelined requests in their order. */
final class HttpServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Closes the connection as soon as all its calls are answered. */
    static final Object DRAIN = new Object();

    /** Refuses the request that is arriving, since the listener holds too many bytes. */
    static final Refusal OVER_BUDGET = new Refusal(503, "too many bytes of requests are held here");

    private static final long LINGER_MS = 1_000;
    private static final int MAX_PIPELINED = 16;
    private static final int BAD_REQUEST = 400;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADER_TOO_LARGE = 431;

    private final HttpHandler handler;
    private final HttpErrorFormat errors;
    private final RequestTimer timer;
    private final AtomicBoolean draining;
    private final Deque<HttpCall> pending = new ArrayDeque<>();
    private boolean ending;

    HttpServerConnection(HttpHandler handler, HttpErrorFormat errors, RequestTimer timer, AtomicBoolean draining) {
        this.handler = handler;
        this.errors = errors;
        this.timer = timer;
        this.draining = draining;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (ending) {
            return;
        }
        if (request.decoderResult().isFailure()) {
            refuse(context, refusal(request.decoderResult().cause()));
            return;
        }
        HttpCall call = new HttpCall(request);
        pending.add(call);
        call.replyFuture().thenRun(() -> context.executor().execute(() -> flush(context)));
        adjustReading(context);
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

    /** Answers what is pending, then the refused request, then closes. */
    private void refuse(ChannelHandlerContext context, Refusal refusal) {
        if (ending) {
            return;
        }
        ending = true;
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
            setGone();
        }
        adjustReading(context);
    }

    private boolean write(ChannelHandlerContext context, HttpCall call) {
        context.pipeline().get(BodyBudgetHandler.class).release(call.body().length);
        boolean last = pending.isEmpty() && (draining.get() || ending);
        boolean keepAlive = call.isKeepAlive() && !last;
        var future =
                context.writeAndFlush(HttpResponses.encode(call.replyFuture().join(), keepAlive));
        if (!keepAlive) {
            future.addListener(ending ? this::closeAfterRefusal : ChannelFutureListener.CLOSE);
            ending = true;
        }
        return keepAlive;
    }

    /** Lets the client read the refusal while it still sends; closing at once would reset the connection. */
    private void closeAfterRefusal(Future<?> written) {
        Channel channel = ((ChannelFuture) written).channel();
        ((DuplexChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void setGone() {
        for (HttpCall c : pending) {
            c.setDisconnected();
        }
        pending.clear();
    }

    private void adjustReading(ChannelHandlerContext context) {
        boolean read = pending.size() < MAX_PIPELINED && context.channel().isWritable();
        context.channel().config().setAutoRead(read);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        adjustReading(context);
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof Refusal r) {
            refuse(context, r);
        } else if (event == DRAIN || event instanceof IdleStateEvent) {
            context.executor().execute(() -> closeIfUnused(context));
        }
    }

    private void closeIfUnused(ChannelHandlerContext context) {
        if (pending.isEmpty() && !ending) {
            ending = true;
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        setGone();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /**
     * An answer that the server gives by itself.
     *
     * @param status the status code
     * @param detail one line for people
     */
    record Refusal(int status, String detail) {}
}
