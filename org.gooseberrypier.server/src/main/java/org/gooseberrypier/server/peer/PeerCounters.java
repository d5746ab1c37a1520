package org.gooseberrypier.server.peer;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counts messages and streams between VMs. Thread-safe. */
public final class PeerCounters {

    private final LongAdder sent = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder malformed = new LongAdder();
    private final LongAdder silentStreams = new LongAdder();
    private final AtomicInteger peersUp = new AtomicInteger();

    /**
     * Returns how many messages were passed to streams.
     *
     * @return the number of messages, without pings
     */
    public long sent() {
        return sent.sum();
    }

    /**
     * Returns the size of the messages passed to streams.
     *
     * @return the size in bytes, before framing
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns how many messages were received.
     *
     * @return the number of messages, without pings
     */
    public long received() {
        return received.sum();
    }

    /**
     * Returns the size of the received messages.
     *
     * @return the size in bytes, before framing
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /**
     * Returns how many messages were dropped before they were passed to a stream.
     *
     * @return the number of messages
     */
    public long dropped() {
        return dropped.sum();
    }

    /**
     * Returns how many received messages were addressed to another VM or could not be decoded.
     *
     * @return the number of messages
     */
    public long malformed() {
        return malformed.sum();
    }

    /**
     * Returns how many streams were replaced because a ping was not answered in time.
     *
     * @return the number of streams
     */
    public long silentStreams() {
        return silentStreams.sum();
    }

    /**
     * Returns how many peers have a stream on which pings are answered.
     *
     * @return the number of peers
     */
    public int peersUp() {
        return peersUp.get();
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
        silentStreams.increment();
    }

    void addPeersUp(int change) {
        peersUp.addAndGet(change);
    }
}
