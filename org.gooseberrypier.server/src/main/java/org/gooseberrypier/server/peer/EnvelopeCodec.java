package org.gooseberrypier.server.peer;

import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.PeerMessage;
import org.gooseberrypier.peer.PlacementMessage;
import org.gooseberrypier.peer.SubmissionMessage;
import org.gooseberrypier.peer.TicketMessage;
import org.gooseberrypier.protocol.Envelope;

/** Encodes and decodes messages between VMs, wrapped in envelopes that name sender and receiver. */
final class EnvelopeCodec {

    private EnvelopeCodec() {}

    static Envelope toProto(Member from, VmId to, PeerMessage message) {
        Envelope.Builder out = Envelope.newBuilder()
                .setFromVm(from.vm().name())
                .setFromIncarnation(from.incarnation())
                .setToVm(to.name());
        if (message instanceof SubmissionMessage m) {
            out.setSubmission(SubmissionMessageCodec.toProto(m));
        } else if (message instanceof MembershipMessage m) {
            out.setMembership(MembershipMessageCodec.toProto(m));
        } else if (message instanceof PlacementMessage m) {
            out.setPlacement(PlacementMessageCodec.toProto(m));
        } else if (message instanceof TicketMessage m) {
            out.setTicket(TicketMessageCodec.toProto(m));
        }
        return out.build();
    }

    static Member sender(Envelope envelope) {
        return new Member(new VmId(envelope.getFromVm()), envelope.getFromIncarnation());
    }

    static PeerMessage message(Envelope envelope) {
        return switch (envelope.getMessageCase()) {
            case SUBMISSION -> SubmissionMessageCodec.fromProto(envelope.getSubmission());
            case MEMBERSHIP -> MembershipMessageCodec.fromProto(envelope.getMembership());
            case PLACEMENT -> PlacementMessageCodec.fromProto(envelope.getPlacement());
            case TICKET -> TicketMessageCodec.fromProto(envelope.getTicket());
            case PING, PONG, MESSAGE_NOT_SET ->
                throw new IllegalArgumentException("envelope without a peer message: " + envelope.getMessageCase());
        };
    }
}
