package org.gooseberrypier.ticket;

import java.util.Objects;

/**
 * The configuration that a prefix of the ticket stream brings into force.
 *
 * @param throughOffset the offset of the last record of that prefix, -1 if no prefix is known
 * @param throughDigest the CRC-32C of that record, -1 if it is not known
 * @param configuration the whole configuration
 */
public record Checkpoint(long throughOffset, long throughDigest, Configuration configuration) {

    /** Checks that nothing is missing. */
    public Checkpoint {
        Objects.requireNonNull(configuration, "configuration");
    }

    /**
     * Creates a checkpoint whose last record is not known.
     *
     * @param throughOffset the offset of the last record of the prefix, -1 if no prefix is known
     * @param configuration the whole configuration
     */
    public Checkpoint(long throughOffset, Configuration configuration) {
        this(throughOffset, RecordDigests.UNKNOWN, configuration);
    }
}
