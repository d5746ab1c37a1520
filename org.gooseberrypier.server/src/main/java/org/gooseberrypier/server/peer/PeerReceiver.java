package org.gooseberrypier.server.peer;

import io.grpc.stub.StreamObserver;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.protocol.Envelope;
import org.gooseberrypier.protocol.PeerServiceGrpc;
import org.gooseberrypier.server.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves the incoming streams of peers: answers pings and publishes received messages as events. */
final class PeerReceiver extends PeerServiceGrpc.PeerServiceImplBase {

    private static final Logger LOG = LoggerFactory.getLogger(PeerReceiver.class);

    private final VmId self;
    private final PeerCounters counters;
    private final PeerEventSink events;

    PeerReceiver(VmId self, PeerCounters counters, PeerEventSink events) {
        this.self = self;
        this.counters = counters;
        this.events = events;
    }

    @Override
    public StreamObserver<Envelope> exchange(StreamObserver<Envelope> replies) {
        return new IncomingStream(replies);
    }

    private void publishMessage(Envelope envelope) {
        if (!envelope.getToVm().equals(self.name())) {
            counters.addMalformed();
            LOG.warn("event=peer_message_misdirected to={}", LogText.quote(envelope.getToVm()));
            return;
        }
        PeerEvent.Received event;
        try {
            event = new PeerEvent.Received(EnvelopeCodec.sender(envelope), EnvelopeCodec.message(envelope));
        } catch (IllegalArgumentException e) {
            counters.addMalformed();
            LOG.warn(
                    "event=peer_message_malformed from={} error={}",
                    LogText.quote(envelope.getFromVm()),
                    LogText.quote(e.getMessage()));
            return;
        }
        counters.addReceived(envelope.getSerializedSize());
        events.publish(event);
    }

    private final class IncomingStream implements StreamObserver<Envelope> {

        private final StreamObserver<Envelope> replies;

        IncomingStream(StreamObserver<Envelope> replies) {
            this.replies = replies;
        }

        @Override
        public void onNext(Envelope envelope) {
            if (envelope.getMessageCase() == Envelope.MessageCase.PING) {
                replies.onNext(Envelope.newBuilder().setPong(envelope.getPing()).build());
            } else {
                publishMessage(envelope);
            }
        }

        @Override
        public void onError(Throwable error) {
            LOG.debug("event=peer_stream_ended error={}", LogText.quote(error.toString()));
        }

        @Override
        public void onCompleted() {
            replies.onCompleted();
        }
    }
}
