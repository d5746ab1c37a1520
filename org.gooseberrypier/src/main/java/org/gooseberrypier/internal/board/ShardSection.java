package org.gooseberrypier.internal.board;

/** The state that this VM holds of the key shards of its zone. */
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
     * @return the state that this VM holds of it
     */
    public ShardState get(int shard) {
        return shards[shard];
    }

    /**
     * Returns the shards whose active primary is this VM.
     *
     * @return a mask with one bit per shard
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
     * Returns how many keys have a record, over all shards.
     *
     * @return the number of keys
     */
    public int keys() {
        return keys;
    }

    /**
     * Returns the total size of the stored answers.
     *
     * @return the size in bytes
     */
    public long answerBytes() {
        return answerBytes;
    }

    /**
     * Changes the totals of keys and answers.
     *
     * @param keyDelta the change of the number of keys
     * @param byteDelta the change of the size of the stored answers, in bytes
     */
    public void adjustTotals(int keyDelta, long byteDelta) {
        keys += keyDelta;
        answerBytes += byteDelta;
    }
}
