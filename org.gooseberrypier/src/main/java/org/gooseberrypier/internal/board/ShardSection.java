package org.gooseberrypier.internal.board;

/** The key shards of this VM's zone, as far as this VM holds them. */
public final class ShardSection {

    private final ShardState[] shards = new ShardState[ShardHolders.SHARDS];
    private int keys;
    private long answerBytes;

    /** Creates empty shards. */
    public ShardSection() {
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new ShardState();
        }
    }

    /**
     * Returns one shard.
     *
     * @param shard the number of the shard
     * @return its state here
     */
    public ShardState get(int shard) {
        return shards[shard];
    }

    /**
     * Returns the shards whose active primary is this VM.
     *
     * @return one bit a shard
     */
    public long activeMask() {
        long mask = 0;
        for (int i = 0; i < shards.length; i++) {
            if (shards[i].phase() == ShardState.Phase.ACTIVE) {
                mask |= 1L << i;
            }
        }
        return mask;
    }

    /**
     * Returns how many keys are remembered in all shards.
     *
     * @return the number of keys
     */
    public int keys() {
        return keys;
    }

    /**
     * Returns how many bytes the kept answers have.
     *
     * @return the size in bytes
     */
    public long answerBytes() {
        return answerBytes;
    }

    /**
     * Changes the sums.
     *
     * @param keyDelta how many keys more
     * @param byteDelta how many bytes more
     */
    public void adjustTotals(int keyDelta, long byteDelta) {
        keys += keyDelta;
        answerBytes += byteDelta;
    }
}
