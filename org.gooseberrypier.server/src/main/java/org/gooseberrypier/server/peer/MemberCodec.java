package org.gooseberrypier.server.peer;

import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.protocol.MemberProto;

/** Encodes and decodes members, and checks shard numbers, in messages between VMs. */
final class MemberCodec {

    private MemberCodec() {}

    static MemberProto toProto(Member member) {
        return MemberProto.newBuilder()
                .setVm(member.vm().name())
                .setIncarnation(member.incarnation())
                .build();
    }

    static Member fromProto(MemberProto proto) {
        return new Member(new VmId(proto.getVm()), proto.getIncarnation());
    }

    /**
     * Checks a shard number received from another VM.
     *
     * @param number the number
     * @return the number
     * @throws IllegalArgumentException if no shard has this number
     */
    static int checkShard(int number) {
        if (number < 0 || number >= ShardHolders.SHARDS) {
            throw new IllegalArgumentException("unknown shard: " + number);
        }
        return number;
    }
}
