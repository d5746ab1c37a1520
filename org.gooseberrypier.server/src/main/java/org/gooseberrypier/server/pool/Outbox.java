package org.gooseberrypier.server.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BinaryOperator;

import com.google.protobuf.MessageLite;

/**
 * Queue of messages that wait until a stream accepts them, bounded by their number and size. At most one periodic message
 * waits; a newer one replaces it and takes the place at the end of the queue. Not thread-safe.
 *
 * @param <M> the type of the messages
 */
final class Outbox<M extends MessageLite> {

    /** Maximum number of waiting messages, without the periodic one. */
    static final int MAX_MESSAGES = 4_096;

    /** Maximum size of the waiting messages without the periodic one, in bytes. */
    static final long MAX_BYTES = 1 << 20;

    private final BinaryOperator<M> merger;
    private final Deque<Slot<M>> slots = new ArrayDeque<>();
    /** The slot of the waiting periodic message, null if none waits. */
    private Slot<M> periodic;

    private int messages;
    private long bytes;

    /** A place in the queue; its message is null if the message was replaced by one further back. */
    private static final class Slot<M> {
        private M message;

        Slot(M message) {
            this.message = message;
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param merger returns the message that replaces a waiting periodic message, its first argument, when the second one
     *     follows it
     */
    Outbox(BinaryOperator<M> merger) {
        this.merger = merger;
    }

    /** Appends a message and returns whether it fits within the bounds. */
    boolean offer(M message) {
        int size = message.getSerializedSize();
        if (messages >= MAX_MESSAGES || bytes + size > MAX_BYTES) {
            return false;
        }
        slots.add(new Slot<>(message));
        messages++;
        bytes += size;
        return true;
    }

    /** Appends the periodic message, in place of the one that waits. */
    void offerPeriodic(M message) {
        M next = message;
        if (periodic != null) {
            next = merger.apply(periodic.message, message);
            periodic.message = null;
            if (slots.peekLast() == periodic) {
                slots.removeLast();
            }
        }
        periodic = new Slot<>(next);
        slots.add(periodic);
    }

    /** Removes and returns the next message; returns null if there is none. */
    M poll() {
        Slot<M> next = slots.poll();
        while (next != null && next.message == null) {
            next = slots.poll();
        }
        if (next == null) {
            return null;
        }
        if (next == periodic) {
            periodic = null;
        } else {
            messages--;
            bytes -= next.message.getSerializedSize();
        }
        return next.message;
    }

    boolean isEmpty() {
        return messages == 0 && periodic == null;
    }

    void clear() {
        slots.clear();
        periodic = null;
        messages = 0;
        bytes = 0;
    }
}
