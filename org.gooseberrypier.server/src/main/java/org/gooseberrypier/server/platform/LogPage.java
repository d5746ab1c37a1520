package org.gooseberrypier.server.platform;

import java.util.List;

import org.gooseberrypier.log.LogRecord;

/**
 * Consecutive records of a stream, as returned by one read.
 *
 * @param firstOffset the offset of the oldest record that the stream retains
 * @param nextOffset the offset that the next appended record will get
 * @param records the records, with consecutive offsets
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {

    /** Copies the list. */
    public LogPage {
        records = List.copyOf(records);
    }

    /**
     * Returns the offset at which the next read begins.
     *
     * @param from the offset at which this read began
     * @return the offset after the last record of this page; at least {@code from}
     */
    public long nextReadOffset(long from) {
        if (records.isEmpty()) {
            return Math.max(from, firstOffset);
        }
        return records.get(records.size() - 1).offset() + 1;
    }
}
