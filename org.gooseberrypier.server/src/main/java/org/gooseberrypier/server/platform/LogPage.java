package org.gooseberrypier.server.platform;

import java.util.List;

import org.gooseberrypier.log.LogRecord;

/**
 * Part of a stream.
 *
 * @param firstOffset the oldest offset that the stream still has
 * @param nextOffset the offset that the next record will get
 * @param records the records read, without a gap between them
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {

    /** Freezes the list. */
    public LogPage {
        records = List.copyOf(records);
    }

    /**
     * Returns where the next read begins.
     *
     * @param from where this read began
     * @return the offset after the last record read; never before {@code from}
     */
    public long nextReadOffset(long from) {
        if (records.isEmpty()) {
            return Math.max(from, firstOffset);
        }
        return records.get(records.size() - 1).offset() + 1;
    }
}
