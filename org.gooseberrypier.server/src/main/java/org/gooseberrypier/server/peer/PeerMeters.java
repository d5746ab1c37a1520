package org.gooseberrypier.server.peer;

import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Exports the counters of messages and streams between VMs as metrics. */
public final class PeerMeters {

    private static final String PREFIX = "gooseberrypier.peer.";

    private PeerMeters() {}

    /**
     * Registers the metrics.
     *
     * @param counters the source of the values
     * @param meters the registry
     */
    public static void register(PeerCounters counters, MeterRegistry meters) {
        registerCounter("messages.sent", "Messages given to streams", counters, PeerCounters::sent, meters);
        registerCounter(
                "bytes.sent", "Bytes of the messages given to streams", counters, PeerCounters::sentBytes, meters);
        registerCounter("messages.received", "Messages that arrived", counters, PeerCounters::received, meters);
        registerCounter(
                "bytes.received", "Bytes of the messages that arrived", counters, PeerCounters::receivedBytes, meters);
        registerCounter("messages.dropped", "Messages that no stream took", counters, PeerCounters::dropped, meters);
        registerCounter(
                "messages.malformed", "Messages misdirected or unreadable", counters, PeerCounters::malformed, meters);
        registerCounter(
                "streams.silent",
                "Streams replaced because they went silent",
                counters,
                PeerCounters::silentStreams,
                meters);
        Gauge.builder(PREFIX + "streams.up", counters, PeerCounters::peersUp)
                .description("Peers with a stream that answers")
                .register(meters);
    }

    private static void registerCounter(
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
