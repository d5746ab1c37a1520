package org.gooseberrypier.ticket;

import java.util.ArrayDeque;
import java.util.List;

import org.gooseberrypier.log.LogRecord;

/** Records that cannot be judged yet, bounded in number and bytes; the oldest are dropped first. */
final class PendingRecords {

    private static final int MAX_RECORDS = 2_000;
    private static final long MAX_BYTES = 2L * CheckpointCodec.MAX_BYTES;

    private final ArrayDeque<LogRecord> records = new ArrayDeque<>();
    private long bytes;

    void add(LogRecord record) {
        records.add(record);
        bytes += record.data().size();
        while (records.size() > MAX_RECORDS || bytes > MAX_BYTES) {
            bytes -= records.poll().data().size();
        }
    }

    /** Returns the offset of the oldest record, or another one if there is none. */
    long firstOffset(long otherwise) {
        return records.isEmpty() ? otherwise : records.peek().offset();
    }

    /** Takes all records out, oldest first. */
    List<LogRecord> takeAll() {
        List<LogRecord> all = List.copyOf(records);
        clear();
        return all;
    }

    void clear() {
        records.clear();
        bytes = 0;
    }
}
