package org.gooseberrypier.server.pool;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.gooseberrypier.pool.ClaimResult;
import org.gooseberrypier.pool.Ownership;
import org.gooseberrypier.pool.PoolConfiguration;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.VmIncarnation;

/** Client of the store that all VMs share. A future fails if the store gives no usable answer within a timeout. */
public interface PoolStore {

    /** Offset that requests the newest record of the whole stream. */
    long NEWEST = -1;

    /**
     * Result of a read.
     *
     * @param <T> the type of the decoded records
     * @param nextOffset the offset that the next record will get
     * @param newest the newest record that could be decoded, if any
     */
    record Page<T>(long nextOffset, Optional<T> newest) {}

    /**
     * Reads the newest ownership record.
     *
     * @param from the first offset that is not known, or {@link #NEWEST}
     * @param waitMs how long the store may wait for a record, in milliseconds
     * @return the newest ownership and the offset after it
     */
    CompletableFuture<Page<Ownership>> readOwnership(long from, long waitMs);

    /**
     * Reads the operators' configuration.
     *
     * @param from the first offset that is not known, or {@link #NEWEST}
     * @param waitMs how long the store may wait for a record, in milliseconds
     * @return the newest configuration and the offset after it
     */
    CompletableFuture<Page<PoolConfiguration>> readConfiguration(long from, long waitMs);

    /**
     * Reads the registered endpoints.
     *
     * @return all registrations that can be decoded
     */
    CompletableFuture<List<PoolEndpoint>> readEndpoints();

    /**
     * Appends an ownership record, provided that it gets the expected offset.
     *
     * @param expectedOffset the offset that the record must get
     * @param owner the VM that the record names as owner
     * @return the result of the append; this future never fails
     */
    CompletableFuture<ClaimResult> claim(long expectedOffset, VmIncarnation owner);
}
