package org.gooseberrypier.server.peer;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.peer.TicketMessage;
import org.gooseberrypier.protocol.LogRecordProto;
import org.gooseberrypier.protocol.TicketAskProto;
import org.gooseberrypier.protocol.TicketMessageProto;
import org.gooseberrypier.protocol.TicketPartProto;
import org.gooseberrypier.protocol.TicketSpreadProto;

/** Encodes and decodes ticket messages as Protocol Buffers. */
final class TicketMessageCodec {

    /** Digest value that means that the sender does not know the digest. */
    private static final long UNKNOWN_DIGEST = -1;

    private TicketMessageCodec() {}

    static TicketMessageProto toProto(TicketMessage message) {
        TicketMessageProto.Builder out = TicketMessageProto.newBuilder();
        if (message instanceof TicketMessage.Spread s) {
            out.setSpread(spread(s));
        } else if (message instanceof TicketMessage.Ask a) {
            out.setAsk(
                    TicketAskProto.newBuilder().setAfterNumber(a.afterNumber()).setWhole(a.whole()));
        } else if (message instanceof TicketMessage.Part p) {
            out.setPart(part(p));
        } else {
            throw new IllegalArgumentException("ticket message type cannot be encoded: " + message.getClass());
        }
        return out.build();
    }

    static TicketMessage fromProto(TicketMessageProto proto) {
        return switch (proto.getKindCase()) {
            case SPREAD -> new TicketMessage.Spread(proto.getSpread().getAfterUniqueId(), records(proto.getSpread()));
            case ASK ->
                new TicketMessage.Ask(
                        proto.getAsk().getAfterNumber(), proto.getAsk().getWhole());
            case PART -> part(proto.getPart());
            case KIND_NOT_SET -> throw new IllegalArgumentException("ticket message without a known kind");
        };
    }

    private static TicketPartProto part(TicketMessage.Part part) {
        return TicketPartProto.newBuilder()
                .setNumber(part.number())
                .setThroughOffset(part.throughOffset())
                .setThroughDigest(part.throughDigest())
                .setIndex(part.index())
                .setCount(part.count())
                .setData(bytes(part.data()))
                .build();
    }

    private static TicketMessage.Part part(TicketPartProto proto) {
        return new TicketMessage.Part(
                proto.getNumber(),
                proto.getThroughOffset(),
                proto.hasThroughDigest() ? proto.getThroughDigest() : UNKNOWN_DIGEST,
                proto.getIndex(),
                proto.getCount(),
                Payload.wrap(proto.getData().toByteArray()));
    }

    private static TicketSpreadProto spread(TicketMessage.Spread spread) {
        TicketSpreadProto.Builder out = TicketSpreadProto.newBuilder().setAfterUniqueId(spread.afterUniqueId());
        for (LogRecord r : spread.records()) {
            out.addRecords(LogRecordProto.newBuilder()
                    .setOffset(r.offset())
                    .setAppendedAtMs(r.appendedAtMs())
                    .setData(bytes(r.data())));
        }
        return out.build();
    }

    private static List<LogRecord> records(TicketSpreadProto spread) {
        List<LogRecord> records = new ArrayList<>(spread.getRecordsCount());
        for (LogRecordProto r : spread.getRecordsList()) {
            records.add(new LogRecord(
                    r.getOffset(), r.getAppendedAtMs(), Payload.wrap(r.getData().toByteArray())));
        }
        return records;
    }

    private static ByteString bytes(Payload payload) {
        return UnsafeByteOperations.unsafeWrap(payload.bytes());
    }
}
