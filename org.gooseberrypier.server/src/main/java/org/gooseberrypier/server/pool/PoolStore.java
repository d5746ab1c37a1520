package org.gooseberrypier.server.pool;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.gooseberrypier.pool.ClaimResult;
import org.gooseberrypier.pool.Ownership;
import org.gooseberrypier.pool.PoolConfiguration;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.VmIncarnation;

/** The store that all VMs share. A future fails where the store gave no usable answer within a bound. */
public interface PoolStore {

    /** Reads from the beginning: the newest of all records. */
    long NEWEST = -1;

    /**
     * What a read found.
     *
     * @param <T> what the records hold
     * @param nextOffset where the next record will lie
     * @param newest the newest record that could be decoded, if there was one
     */
    record Page<T>(long nextOffset, Optional<T> newest) {}

    /**
     * Reads who owns the pool.
     *
     * @param from the first offset that is not known, or {@link #NEWEST}
     * @param waitMs how long the store may wait for a record, in milliseconds
     * @return the newest ownership
     */
    CompletableFuture<Page<Ownership>> readOwnership(long from, long waitMs);

    /**
     * Reads the operators' configuration.
     *
     * @param from the first offset that is not known, or {@link #NEWEST}
     * @param waitMs how long the store may wait for a record, in milliseconds
     * @return the newest configuration
     */
    CompletableFuture<Page<PoolConfiguration>> readConfiguration(long from, long waitMs);

    /**
     * Reads the registered endpoints.
     *
     * @return all entries that can be decoded
     */
    CompletableFuture<List<PoolEndpoint>> readEndpoints();

    /**
     * Writes an ownership if it comes to lie at the expected offset.
     *
     * @param expectedEnd the offset
     * @param owner the VM that the record names
     * @return what came of it; this future does not fail
     */
    CompletableFuture<ClaimResult> claim(long expectedEnd, VmIncarnation owner);
}
