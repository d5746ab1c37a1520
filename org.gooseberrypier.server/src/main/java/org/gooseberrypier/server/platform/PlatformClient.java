package org.gooseberrypier.server.platform;

import java.util.concurrent.CompletableFuture;

import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.StreamId;

/** Client of the platform's log and its list of VMs. */
public interface PlatformClient extends AutoCloseable {

    /**
     * Appends a record at most once.
     *
     * @param stream the stream
     * @param data the record, UTF-8 text
     * @return the result of the append; the future never fails
     */
    CompletableFuture<AppendResult> append(StreamId stream, Payload data);

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param from the offset of the first requested record
     * @param waitMs how long the platform may wait for a record if there is none yet, in milliseconds
     * @return the records; fails with an {@link java.io.IOException} if there is no usable reply
     */
    CompletableFuture<LogPage> read(StreamId stream, long from, long waitMs);

    /**
     * Reads the list of VMs.
     *
     * @return the list; fails with an {@link java.io.IOException} if there is no usable reply
     */
    CompletableFuture<VmListing> listVms();

    /** Closes all connections. */
    @Override
    void close();
}
