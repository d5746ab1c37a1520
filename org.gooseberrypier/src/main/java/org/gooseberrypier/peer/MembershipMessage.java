package org.gooseberrypier.peer;

import java.util.Optional;

import org.gooseberrypier.lib.Member;

/** A message about membership: heartbeats, and the collection and copying of shards. */
public sealed interface MembershipMessage extends PeerMessage {

    /**
     * Reports that the sender is alive.
     *
     * @param viewNumber the number of the zone view that the sender knows
     * @param ticketNumber the number of the ticket in force at the sender
     * @param ready whether the sender accepts new work
     * @param activeShards the shards of which the sender is the active primary in that view, one bit per shard
     */
    record Heartbeat(long viewNumber, long ticketNumber, boolean ready, long activeShards)
            implements MembershipMessage {}

    /**
     * Requests the state of a shard from an old holder, which then no longer acts under views below the target view;
     * idempotent.
     *
     * @param target the number of the view for which the sender collects the state
     * @param shard the shard
     * @param from the number of the older view in which the receiver is a holder
     * @param holder the member addressed; another incarnation of its VM replies without a state
     */
    record Collect(long target, int shard, long from, Member holder) implements MembershipMessage {}

    /**
     * Answers {@link Collect}; a sender that includes its state no longer acts under views below the target.
     *
     * @param target the number of the view for which the state is collected
     * @param shard the shard
     * @param from the number of the older view in which the sender is a holder
     * @param holder the member addressed
     * @param snapshot the state, empty if the sender is another incarnation than the member addressed
     */
    record Collected(long target, int shard, long from, Member holder, Optional<ShardSnapshot> snapshot)
            implements MembershipMessage {}

    /**
     * Copies the state of a shard to the backup of a view; idempotent.
     *
     * @param view the number of the view
     * @param shard the shard
     * @param unchangedSince the number of the older view in which sender and backup had the complete shard, 0 for none
     * @param snapshot the state, empty if it is unchanged
     */
    record CopyShard(long view, int shard, long unchangedSince, Optional<ShardSnapshot> snapshot)
            implements MembershipMessage {}

    /**
     * Answers {@link CopyShard}.
     *
     * @param view the number of the view
     * @param shard the shard
     * @param held whether the sender holds the complete shard in that view; if not, it needs a full copy
     */
    record ShardCopied(long view, int shard, boolean held) implements MembershipMessage {}
}
