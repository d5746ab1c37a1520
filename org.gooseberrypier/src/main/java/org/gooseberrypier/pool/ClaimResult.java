package org.gooseberrypier.pool;

/** Result of an attempt to append an ownership record to the shared store. */
public sealed interface ClaimResult {

    /**
     * The record was written.
     *
     * @param offset the offset of the record in its stream
     */
    record Accepted(long offset) implements ClaimResult {}

    /** Another VM's record was written first. */
    record Conflict() implements ClaimResult {}

    /** The store rejected the request; nothing was written. */
    record Rejected() implements ClaimResult {}

    /** The store did not answer; the record may have been written, or may still be written. */
    record Unanswered() implements ClaimResult {}
}
