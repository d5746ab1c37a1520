package org.gooseberrypier.server.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gooseberrypier.peer.KeyRecord;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.MembershipMessage.Collect;
import org.gooseberrypier.peer.MembershipMessage.Collected;
import org.gooseberrypier.peer.MembershipMessage.CopyShard;
import org.gooseberrypier.peer.MembershipMessage.Heartbeat;
import org.gooseberrypier.peer.MembershipMessage.ShardCopied;
import org.gooseberrypier.peer.ShardSnapshot;
import org.gooseberrypier.protocol.CollectProto;
import org.gooseberrypier.protocol.CollectedProto;
import org.gooseberrypier.protocol.CopyShardProto;
import org.gooseberrypier.protocol.HeartbeatProto;
import org.gooseberrypier.protocol.KeyRecordProto;
import org.gooseberrypier.protocol.MembershipMessageProto;
import org.gooseberrypier.protocol.ShardCopiedProto;
import org.gooseberrypier.protocol.ShardSnapshotProto;

/** Encodes and decodes membership messages as Protocol Buffers. */
final class MembershipMessageCodec {

    private MembershipMessageCodec() {}

    static MembershipMessageProto toProto(MembershipMessage message) {
        MembershipMessageProto.Builder out = MembershipMessageProto.newBuilder();
        if (message instanceof Heartbeat h) {
            out.setHeartbeat(heartbeat(h));
        } else if (message instanceof Collect c) {
            out.setCollect(collect(c));
        } else if (message instanceof Collected c) {
            out.setCollected(collected(c));
        } else if (message instanceof CopyShard c) {
            out.setCopyShard(copyShard(c));
        } else if (message instanceof ShardCopied c) {
            out.setShardCopied(ShardCopiedProto.newBuilder()
                    .setView(c.view())
                    .setShard(c.shard())
                    .setHeld(c.held()));
        } else {
            throw new IllegalArgumentException("membership message type cannot be encoded: " + message.getClass());
        }
        return out.build();
    }

    static MembershipMessage fromProto(MembershipMessageProto proto) {
        return switch (proto.getKindCase()) {
            case HEARTBEAT -> heartbeat(proto.getHeartbeat());
            case COLLECT -> collect(proto.getCollect());
            case COLLECTED -> collected(proto.getCollected());
            case COPY_SHARD -> copyShard(proto.getCopyShard());
            case SHARD_COPIED ->
                new ShardCopied(
                        proto.getShardCopied().getView(),
                        MemberCodec.checkShard(proto.getShardCopied().getShard()),
                        proto.getShardCopied().getHeld());
            case KIND_NOT_SET -> throw new IllegalArgumentException("membership message without a known kind");
        };
    }

    private static HeartbeatProto heartbeat(Heartbeat h) {
        return HeartbeatProto.newBuilder()
                .setViewNumber(h.viewNumber())
                .setTicketNumber(h.ticketNumber())
                .setReady(h.ready())
                .setActiveShards(h.activeShards())
                .build();
    }

    private static Heartbeat heartbeat(HeartbeatProto p) {
        return new Heartbeat(p.getViewNumber(), p.getTicketNumber(), p.getReady(), p.getActiveShards());
    }

    private static CollectProto collect(Collect c) {
        return CollectProto.newBuilder()
                .setTarget(c.target())
                .setShard(c.shard())
                .setFrom(c.from())
                .setHolder(MemberCodec.toProto(c.holder()))
                .build();
    }

    private static Collect collect(CollectProto p) {
        return new Collect(
                p.getTarget(), MemberCodec.checkShard(p.getShard()), p.getFrom(), MemberCodec.fromProto(p.getHolder()));
    }

    private static CollectedProto collected(Collected c) {
        CollectedProto.Builder out = CollectedProto.newBuilder()
                .setTarget(c.target())
                .setShard(c.shard())
                .setFrom(c.from())
                .setHolder(MemberCodec.toProto(c.holder()));
        c.snapshot().ifPresent(s -> out.setSnapshot(snapshot(s)));
        return out.build();
    }

    private static Collected collected(CollectedProto p) {
        return new Collected(
                p.getTarget(),
                MemberCodec.checkShard(p.getShard()),
                p.getFrom(),
                MemberCodec.fromProto(p.getHolder()),
                p.hasSnapshot() ? Optional.of(snapshot(p.getSnapshot())) : Optional.empty());
    }

    private static CopyShardProto copyShard(CopyShard c) {
        CopyShardProto.Builder out = CopyShardProto.newBuilder()
                .setView(c.view())
                .setShard(c.shard())
                .setUnchangedSince(c.unchangedSince());
        c.snapshot().ifPresent(s -> out.setSnapshot(snapshot(s)));
        return out.build();
    }

    private static CopyShard copyShard(CopyShardProto p) {
        return new CopyShard(
                p.getView(),
                MemberCodec.checkShard(p.getShard()),
                p.getUnchangedSince(),
                p.hasSnapshot() ? Optional.of(snapshot(p.getSnapshot())) : Optional.empty());
    }

    private static ShardSnapshotProto snapshot(ShardSnapshot s) {
        ShardSnapshotProto.Builder out = ShardSnapshotProto.newBuilder()
                .setCompleteView(s.completeView())
                .setActiveView(s.activeView())
                .setLostBeforeMs(s.lostBeforeMs())
                .setLostUntilMs(s.lostUntilMs())
                .setExpiredBeforeMs(s.expiredBeforeMs());
        s.records().forEach(r -> out.addRecords(SubmissionMessageCodec.record(r)));
        return out.build();
    }

    private static ShardSnapshot snapshot(ShardSnapshotProto p) {
        List<KeyRecord> records = new ArrayList<>(p.getRecordsCount());
        for (KeyRecordProto r : p.getRecordsList()) {
            records.add(SubmissionMessageCodec.record(r));
        }
        return new ShardSnapshot(
                p.getCompleteView(),
                p.getActiveView(),
                p.getLostBeforeMs(),
                p.getLostUntilMs(),
                p.getExpiredBeforeMs(),
                records);
    }
}
