package org.gooseberrypier.internal.board;

import java.util.List;

import org.gooseberrypier.lib.Member;

/** A numbered membership view of an availability zone, which assigns each key shard to its holders. */
public final class ZoneView {

    /** The current view before the first view is installed. */
    public static final ZoneView NONE = new ZoneView(0, "", 0, List.of());

    private final long number;
    private final String uniqueId;
    private final long ticketNumber;
    private final List<Member> members;
    private final ShardHolders[] holders;

    /**
     * Creates a view.
     *
     * @param number the number, higher than that of every earlier view of the zone
     * @param uniqueId the unique id that its proposer has chosen
     * @param ticketNumber the number of the ticket that was in force at its proposer
     * @param members the members
     */
    public ZoneView(long number, String uniqueId, long ticketNumber, List<Member> members) {
        this.number = number;
        this.uniqueId = uniqueId;
        this.ticketNumber = ticketNumber;
        this.members = members.stream().sorted().toList();
        this.holders = new ShardHolders[members.isEmpty() ? 0 : ShardHolders.SHARDS];
        for (int i = 0; i < holders.length; i++) {
            holders[i] = ShardHolders.choose(i, this.members);
        }
    }

    /**
     * Returns the number.
     *
     * @return the number, 0 for {@link #NONE}
     */
    public long number() {
        return number;
    }

    /**
     * Returns the unique id that its proposer has chosen.
     *
     * @return the unique id
     */
    public String uniqueId() {
        return uniqueId;
    }

    /**
     * Returns the ticket that was in force at its proposer.
     *
     * @return the number of the ticket
     */
    public long ticketNumber() {
        return ticketNumber;
    }

    /**
     * Returns the members.
     *
     * @return the members in their natural order
     */
    public List<Member> members() {
        return members;
    }

    /**
     * Tells whether this is a view of the zone and not {@link #NONE}.
     *
     * @return false for {@link #NONE}
     */
    public boolean isPresent() {
        return number > 0;
    }

    /**
     * Returns the holders of a shard.
     *
     * @param shard the shard
     * @return the holders
     */
    public ShardHolders holders(int shard) {
        return holders[shard];
    }

    @Override
    public String toString() {
        return "view " + number + " " + members;
    }
}
