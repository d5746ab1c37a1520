package org.gooseberrypier.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Refuses a request with 408 if its last byte does not arrive within a timeout after its first byte, and tells when the first
 * byte arrived.
 */
final class RequestTimer extends ChannelInboundHandlerAdapter {

    private static final int REQUEST_TIMEOUT_STATUS = 408;

    private final long timeoutMs;
    private final LongUnaryOperator earliestArrival;
    /** When the requests arrived that are complete and were not taken yet, in nanoseconds. */
    private final Deque<Long> arrivals = new ArrayDeque<>();

    private ChannelHandlerContext context;
    private ScheduledFuture<?> timer;
    private long bytesNanos;
    private long requestNanos;

    /**
     * Creates the timer of a connection.
     *
     * @param timeoutMs the timeout in milliseconds
     * @param earliestArrival returns the earliest time at which bytes may have arrived that are read at a time, both in
     *     nanoseconds of the monotonic clock
     */
    RequestTimer(long timeoutMs, LongUnaryOperator earliestArrival) {
        this.timeoutMs = timeoutMs;
        this.earliestArrival = earliestArrival;
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Records that a request has begun in the bytes that are being read, unless it has begun before. */
    void onRequestBegan() {
        if (timer == null) {
            timer = context.executor().schedule(this::expire, timeoutMs, TimeUnit.MILLISECONDS);
            requestNanos = bytesNanos;
        }
    }

    /** Records that the last byte of a request was read. */
    void onRequestComplete() {
        stop();
        arrivals.add(requestNanos);
    }

    /** Returns the earliest time at which the oldest complete request that was not taken yet may have arrived, and takes it. */
    long takeArrivalNanos() {
        return arrivals.remove();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext current, Object message) {
        bytesNanos = earliestArrival.applyAsLong(System.nanoTime());
        onRequestBegan();
        current.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext current) {
        stop();
        current.fireChannelInactive();
    }

    private void expire() {
        timer = null;
        context.fireUserEventTriggered(new HttpServerConnection.Refusal(
                REQUEST_TIMEOUT_STATUS, "the request was not there as a whole within " + timeoutMs + " ms"));
    }
}
