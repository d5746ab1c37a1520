package org.gooseberrypier.pool;

/**
 * Record in the shared store that names the owner of the pool.
 *
 * @param offset the offset of the record in its stream
 * @param owner the VM that the record names
 */
public record Ownership(long offset, VmIncarnation owner) {

    /** Low-order bits of a token that are reserved for the tokens of zone owners, which have no record. */
    private static final int ZONE_TOKEN_BITS = 20;

    /**
     * Returns the fencing token of this ownership; it increases with each record.
     *
     * @return the fencing token
     */
    public long token() {
        return (offset + 1) << ZONE_TOKEN_BITS;
    }
}
