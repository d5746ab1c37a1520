package org.gooseberrypier.server.peer;

import java.util.List;

import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.peer.PlacementMessage;
import org.gooseberrypier.peer.PlacementMessage.CreditTotals;
import org.gooseberrypier.protocol.CreditDemandProto;
import org.gooseberrypier.protocol.CreditGrantProto;
import org.gooseberrypier.protocol.CreditRecallProto;
import org.gooseberrypier.protocol.CreditReturnProto;
import org.gooseberrypier.protocol.CreditTotalsProto;
import org.gooseberrypier.protocol.PlacementMessageProto;

/** Encodes and decodes placement messages as Protocol Buffers. */
public final class PlacementMessageCodec {

    private PlacementMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the encoded message
     */
    public static PlacementMessageProto toProto(PlacementMessage message) {
        PlacementMessageProto.Builder b = PlacementMessageProto.newBuilder();
        if (message instanceof PlacementMessage.CreditDemand d) {
            b.setDemand(CreditDemandProto.newBuilder().setWork(d.work().name()).setWanted(d.wanted()));
        } else if (message instanceof PlacementMessage.CreditGrant g) {
            b.setGrant(CreditGrantProto.newBuilder().addAllTotals(toProto(g.totals())));
        } else if (message instanceof PlacementMessage.CreditReturn r) {
            b.setCreditReturn(CreditReturnProto.newBuilder()
                    .addAllTotals(toProto(r.totals()))
                    .addAllSatisfied(r.satisfied().stream().map(WorkId::name).toList()));
        } else if (message instanceof PlacementMessage.CreditRecall r) {
            b.setRecall(CreditRecallProto.newBuilder().setWork(r.work().name()).setCredits(r.credits()));
        }
        return b.build();
    }

    /**
     * Decodes a message.
     *
     * @param proto the encoded message
     * @return the message
     * @throws IllegalArgumentException if the kind is unknown or a name is blank
     */
    public static PlacementMessage fromProto(PlacementMessageProto proto) {
        return switch (proto.getKindCase()) {
            case DEMAND ->
                new PlacementMessage.CreditDemand(
                        new WorkId(proto.getDemand().getWork()),
                        proto.getDemand().getWanted());
            case GRANT ->
                new PlacementMessage.CreditGrant(fromProto(proto.getGrant().getTotalsList()));
            case CREDIT_RETURN ->
                new PlacementMessage.CreditReturn(
                        fromProto(proto.getCreditReturn().getTotalsList()),
                        proto.getCreditReturn().getSatisfiedList().stream()
                                .map(WorkId::new)
                                .toList());
            case RECALL ->
                new PlacementMessage.CreditRecall(
                        new WorkId(proto.getRecall().getWork()),
                        proto.getRecall().getCredits());
            default -> throw new IllegalArgumentException("placement message without a known kind");
        };
    }

    private static List<CreditTotalsProto> toProto(List<CreditTotals> totals) {
        return totals.stream()
                .map(t -> CreditTotalsProto.newBuilder()
                        .setEndpoint(t.endpoint().name())
                        .setSession(t.session())
                        .setGranted(t.granted())
                        .setReturned(t.returned())
                        .build())
                .toList();
    }

    private static List<CreditTotals> fromProto(List<CreditTotalsProto> totals) {
        return totals.stream()
                .map(t -> new CreditTotals(
                        new EndpointId(t.getEndpoint()), t.getSession(), t.getGranted(), t.getReturned()))
                .toList();
    }
}
