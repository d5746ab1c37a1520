package org.gooseberrypier.server.peer;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counts what happens on the streams between VMs. */
public final class PeerCounters {

    private final LongAdder sent = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder malformed = new LongAdder();
    private final LongAdder silent = new LongAdder();
    private final AtomicInteger up = new AtomicInteger();

    /**
     * Returns how many messages were given to streams.
     *
     * @return messages, without pings
     */
    public long sent() {
        return sent.sum();
    }

    /**
     * Returns the size of the messages given to streams.
     *
     * @return bytes before framing
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns how many messages arrived.
     *
     * @return messages, without pings
     */
    public long received() {
        return received.sum();
    }

    /**
     * Returns the size of the messages that arrived.
     *
     * @return bytes before framing
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /**
     * Returns how many messages were dropped before a stream took them.
     *
     * @return messages
     */
    public long dropped() {
        return dropped.sum();
    }

    /**
     * Returns how many messages arrived that were for another VM or could not be read.
     *
     * @return messages
     */
    public long malformed() {
        return malformed.sum();
    }

    /**
     * Returns how many streams were replaced because they went silent.
     *
     * @return streams
     */
    public long silentStreams() {
        return silent.sum();
    }

    /**
     * Returns how many peers have a stream that answers.
     *
     * @return peers
     */
    public int peersUp() {
        return up.get();
    }

    void addSent(int bytes) {
        sent.increment();
        sentBytes.add(bytes);
    }

    void addReceived(int bytes) {
        received.increment();
        receivedBytes.add(bytes);
    }

    void addDropped(int messages) {
        dropped.add(messages);
    }

    void addMalformed() {
        malformed.increment();
    }

    void addSilentStream() {
        silent.increment();
    }

    void addPeersUp(int change) {
        up.addAndGet(change);
    }
}
