package org.gooseberrypier.pool;

/**
 * A record of the shared store that names the owner of the pool.
 *
 * @param offset where the record lies in its stream
 * @param owner the VM that it names
 */
public record Ownership(long offset, VmIncarnation owner) {

    /** Leaves room below each token for owners of one zone that act while the store is out of reach. */
    private static final int LOCAL_BITS = 20;

    /**
     * Returns the fencing token of this ownership; it rises with each record.
     *
     * @return the token
     */
    public long token() {
        return (offset + 1) << LOCAL_BITS;
    }
}
