package org.gooseberrypier.ticket;

import java.util.ArrayDeque;
import java.util.List;

import org.gooseberrypier.log.LogRecord;

/** Buffer of records that have no verdict yet, bounded in number and in bytes; the oldest are dropped first. */
final class PendingRecords {

    private static final int MAX_RECORDS = 2_000;
    private static final long MAX_BYTES = 2L * CheckpointCodec.MAX_BYTES;

    private final ArrayDeque<LogRecord> records = new ArrayDeque<>();
    private long totalBytes;

    void add(LogRecord record) {
        records.add(record);
        totalBytes += record.data().size();
        while (records.size() > MAX_RECORDS || totalBytes > MAX_BYTES) {
            totalBytes -= records.poll().data().size();
        }
    }

    /** Returns the offset of the oldest record, or the given one if the buffer is empty. */
    long firstOffset(long defaultOffset) {
        return records.isEmpty() ? defaultOffset : records.peek().offset();
    }

    /** Removes and returns all records, oldest first. */
    List<LogRecord> takeAll() {
        List<LogRecord> all = List.copyOf(records);
        clear();
        return all;
    }

    void clear() {
        records.clear();
        totalBytes = 0;
    }
}
