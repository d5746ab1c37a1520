package org.gooseberrypier.server.pool;

import java.util.function.BinaryOperator;
import java.util.function.Consumer;

import com.google.protobuf.MessageLite;
import io.grpc.stub.CallStreamObserver;
import org.gooseberrypier.server.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages on one gRPC stream, from any thread. Messages wait in a bounded queue while the flow control of the stream
 * does not accept them.
 *
 * <p>No method throws: a stream that was cancelled or closed by either end, or whose peer is too slow, is reported as failed
 * once, and messages for it are dropped from then on.
 *
 * @param <M> the type of the messages
 */
final class StreamSender<M extends MessageLite> {

    private static final Logger LOG = LoggerFactory.getLogger(StreamSender.class);

    private final CallStreamObserver<M> stream;
    private final Consumer<String> onFailure;
    private final Outbox<M> outbox;
    private boolean ended;

    /**
     * Creates a sender. The owner of the stream calls {@link #drain()} when the stream becomes ready.
     *
     * @param stream the stream
     * @param merger returns the message that replaces two consecutive periodic messages
     * @param onFailure called at most once with the reason when the stream cannot be used any longer; never called while a
     *     lock of this sender is held, nor after {@link #end}
     */
    StreamSender(CallStreamObserver<M> stream, BinaryOperator<M> merger, Consumer<String> onFailure) {
        this.stream = stream;
        this.onFailure = onFailure;
        this.outbox = new Outbox<>(merger);
    }

    /** Sends a message after those sent before it. */
    void send(M message) {
        String failure;
        synchronized (this) {
            if (ended) {
                return;
            }
            failure = outbox.offer(message) ? drainOutbox() : "too many messages wait for the peer";
        }
        report(failure);
    }

    /** Sends a message that replaces an earlier periodic message which has not been passed to the stream yet. */
    void sendPeriodic(M message) {
        String failure;
        synchronized (this) {
            if (ended) {
                return;
            }
            outbox.offerPeriodic(message);
            failure = drainOutbox();
        }
        report(failure);
    }

    /** Sends waiting messages as far as the stream accepts them. */
    void drain() {
        String failure;
        synchronized (this) {
            failure = drainOutbox();
        }
        report(failure);
    }

    /** Ends the stream after the messages that were passed to it; further messages are dropped. */
    synchronized void end() {
        if (stop()) {
            closeStream();
        }
    }

    /** Drops all messages from now on, since the peer has ended the stream. */
    synchronized void abandon() {
        stop();
    }

    /** Passes messages to the stream and returns why that failed, or null. */
    private String drainOutbox() {
        try {
            while (!ended && !outbox.isEmpty() && stream.isReady()) {
                stream.onNext(outbox.poll());
            }
            return null;
        } catch (RuntimeException e) {
            // gRPC throws different unchecked exceptions for a stream that was cancelled, half-closed or closed.
            return e.toString();
        }
    }

    private void report(String failure) {
        if (failure == null) {
            return;
        }
        synchronized (this) {
            if (!stop()) {
                return;
            }
            closeStream();
        }
        onFailure.accept(failure);
    }

    private boolean stop() {
        boolean first = !ended;
        ended = true;
        outbox.clear();
        return first;
    }

    private void closeStream() {
        try {
            stream.onCompleted();
        } catch (RuntimeException e) {
            // The peer has closed or cancelled the stream already, so nothing is left to be closed.
            LOG.debug("event=stream_closed_before error={}", LogText.quote(e));
        }
    }
}
