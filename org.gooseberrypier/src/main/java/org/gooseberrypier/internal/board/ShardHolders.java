package org.gooseberrypier.internal.board;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.ZoneId;

/**
 * The members that store the records of one key shard in one zone view.
 *
 * @param primary the member that accepts submissions for the keys
 * @param backup the member that stores a copy of each record, empty in a zone with one member
 */
public record ShardHolders(Member primary, Optional<Member> backup) {

    /** How many key shards each zone has. */
    public static final int SHARDS = 64;

    /**
     * Chooses the holders of a shard by rendezvous hashing, which moves only the shards of members that join or leave.
     *
     * @param shard the shard
     * @param members the members of the view, at least one
     * @return the holders
     */
    public static ShardHolders choose(int shard, List<Member> members) {
        List<Member> ranked = new ArrayList<>(members);
        ranked.sort(Comparator.comparingLong((Member m) -> score(shard + "\n" + m.vm()))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        Optional<Member> backup = ranked.size() > 1 ? Optional.of(ranked.get(1)) : Optional.empty();
        return new ShardHolders(ranked.get(0), backup);
    }

    /**
     * Returns the shard of a key.
     *
     * @param job the identity of the keyed job
     * @return the shard, from 0
     */
    public static int shardOf(JobId job) {
        return (int) Math.floorMod(score(job.value()), (long) SHARDS);
    }

    /**
     * Chooses the home zone of a key for which the caller has not named one.
     *
     * @param job the identity of the keyed job
     * @param zones the zones to choose from
     * @return the home zone, empty if there is no zone
     */
    public static Optional<ZoneId> homeZone(JobId job, Collection<ZoneId> zones) {
        return zones.stream()
                .max(Comparator.comparingLong((ZoneId z) -> score(job.value() + "\n" + z))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /**
     * Tells whether a member is one of the holders.
     *
     * @param member the member
     * @return whether it holds the shard
     */
    public boolean contains(Member member) {
        return primary.equals(member) || backup.filter(member::equals).isPresent();
    }

    /**
     * Lists the holders.
     *
     * @return the primary, then the backup if there is one
     */
    public List<Member> list() {
        return backup.map(b -> List.of(primary, b)).orElse(List.of(primary));
    }

    private static long score(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }
}
