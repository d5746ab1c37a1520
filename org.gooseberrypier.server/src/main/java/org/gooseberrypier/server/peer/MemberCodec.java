package org.gooseberrypier.server.peer;

import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.protocol.MemberProto;

/** Turns members and shards in messages into their protocol form and back. */
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

    /** Checks the number of a shard that came from another VM. */
    static int checkShard(int number) {
        if (number < 0 || number >= ShardHolders.SHARDS) {
            throw new IllegalArgumentException("no such shard: " + number);
        }
        return number;
    }
}
