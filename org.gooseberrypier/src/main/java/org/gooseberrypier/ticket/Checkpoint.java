package org.gooseberrypier.ticket;

import java.util.Objects;

/**
 * The configuration that results from a prefix of the ticket stream.
 *
 * @param throughOffset the offset of the last record of that prefix, -1 if no prefix is known
 * @param throughDigest the CRC-32C of that record, -1 if it is not known
 * @param configuration the complete configuration
 */
public record Checkpoint(long throughOffset, long throughDigest, Configuration configuration) {

    /** Checks that the configuration is not null. */
    public Checkpoint {
        Objects.requireNonNull(configuration, "configuration");
    }

    /**
     * Creates a checkpoint without the digest of its last record.
     *
     * @param throughOffset the offset of the last record of the prefix, -1 if no prefix is known
     * @param configuration the complete configuration
     */
    public Checkpoint(long throughOffset, Configuration configuration) {
        this(throughOffset, RecordDigests.UNKNOWN, configuration);
    }
}
