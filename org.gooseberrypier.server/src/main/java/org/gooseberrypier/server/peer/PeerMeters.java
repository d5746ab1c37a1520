package org.gooseberrypier.server.peer;

import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Tells the counts of the streams between VMs as metrics. */
public final class PeerMeters {

    private static final String PREFIX = "gooseberrypier.peer.";

    private PeerMeters() {}

    /**
     * Registers the metrics.
     *
     * @param counters what they tell
     * @param meters where they are told
     */
    public static void register(PeerCounters counters, MeterRegistry meters) {
        count("messages.sent", "Messages given to streams", counters, PeerCounters::sent, meters);
        count("bytes.sent", "Bytes of the messages given to streams", counters, PeerCounters::sentBytes, meters);
        count("messages.received", "Messages that arrived", counters, PeerCounters::received, meters);
        count("bytes.received", "Bytes of the messages that arrived", counters, PeerCounters::receivedBytes, meters);
        count("messages.dropped", "Messages that no stream took", counters, PeerCounters::dropped, meters);
        count("messages.malformed", "Messages misdirected or unreadable", counters, PeerCounters::malformed, meters);
        count(
                "streams.silent",
                "Streams replaced because they went silent",
                counters,
                PeerCounters::silentStreams,
                meters);
        Gauge.builder(PREFIX + "streams.up", counters, PeerCounters::peersUp)
                .description("Peers with a stream that answers")
                .register(meters);
    }

    private static void count(
            String name,
            String description,
            PeerCounters counters,
            ToDoubleFunction<PeerCounters> value,
            MeterRegistry meters) {
        FunctionCounter.builder(PREFIX + name, counters, value)
                .description(description)
                .register(meters);
    }
}
