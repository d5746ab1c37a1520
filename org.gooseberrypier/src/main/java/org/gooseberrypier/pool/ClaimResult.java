package org.gooseberrypier.pool;

/** What came of an attempt to write a new ownership. */
public sealed interface ClaimResult {

    /**
     * The record was written.
     *
     * @param offset where it lies
     */
    record Accepted(long offset) implements ClaimResult {}

    /** Another record was written first. */
    record Conflict() implements ClaimResult {}

    /** The store did nothing. */
    record Rejected() implements ClaimResult {}

    /** No answer came; the record may be written or be written later. */
    record Unanswered() implements ClaimResult {}
}
