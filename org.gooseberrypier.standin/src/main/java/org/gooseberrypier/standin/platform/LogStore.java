package org.gooseberrypier.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.LogRecord;

/** Stores append-only streams of records in memory. */
public final class LogStore {

    private final Map<String, Stream> streams = new HashMap<>();

    /**
     * Appends a record.
     *
     * @param stream the name of the stream; it is created if it does not exist
     * @param data the content of the record
     * @param nowMs the time of the append, in milliseconds since the epoch
     * @return the record with its offset
     */
    public synchronized LogRecord append(String stream, Payload data, long nowMs) {
        Stream s = stream(stream);
        LogRecord record = new LogRecord(s.nextOffset(), nowMs, data);
        s.add(record);
        return record;
    }

    /**
     * Reads records without a limit of their size.
     *
     * @param stream the name of the stream
     * @param from the offset of the first record to read; lower than the first offset reads from the first one
     * @param max the maximum number of records
     * @return the records found
     */
    public synchronized Page read(String stream, long from, int max) {
        return read(stream, from, max, Long.MAX_VALUE);
    }

    /**
     * Reads records up to a total size.
     *
     * @param stream the name of the stream
     * @param from the offset of the first record to read; lower than the first offset reads from the first one
     * @param max the maximum number of records
     * @param maxBytes the maximum total size in bytes; the first record is returned even if it is larger
     * @return the records found
     */
    public synchronized Page read(String stream, long from, int max, long maxBytes) {
        Stream s = stream(stream);
        int begin = (int) Math.min(s.records.size(), Math.max(0, from - s.firstOffset));
        int end = begin;
        long bytes = 0;
        while (end < s.records.size() && end - begin < max) {
            bytes += s.records.get(end).data().size();
            if (bytes > maxBytes && end > begin) {
                break;
            }
            end++;
        }
        return new Page(s.firstOffset, s.nextOffset(), List.copyOf(s.records.subList(begin, end)));
    }

    /**
     * Drops the oldest records of a stream.
     *
     * @param stream the name of the stream
     * @param firstOffset the offset of the oldest record to keep
     */
    public synchronized void expire(String stream, long firstOffset) {
        stream(stream).dropBefore(firstOffset);
    }

    /**
     * Drops the oldest records of all streams by age and by size.
     *
     * @param beforeMs records appended before this time are dropped, in milliseconds since the epoch
     * @param maxStreamBytes the maximum size of each stream in bytes
     */
    public synchronized void expireAll(long beforeMs, long maxStreamBytes) {
        for (Stream s : streams.values()) {
            s.dropExpired(beforeMs, maxStreamBytes);
        }
    }

    /**
     * Drops the newest records of a stream, to simulate a store that was restored from an old backup.
     *
     * @param stream the name of the stream
     * @param nextOffset the offset that the next record will get
     */
    public synchronized void rewind(String stream, long nextOffset) {
        stream(stream).truncate(nextOffset);
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(name, n -> new Stream());
    }

    /**
     * The result of a read.
     *
     * @param firstOffset the offset of the oldest record in the stream
     * @param nextOffset the offset that the next appended record will get
     * @param records the records read
     */
    public record Page(long firstOffset, long nextOffset, List<LogRecord> records) {}

    private static final class Stream {

        private long firstOffset;
        private long bytes;
        private final List<LogRecord> records = new ArrayList<>();

        long nextOffset() {
            return firstOffset + records.size();
        }

        void add(LogRecord record) {
            records.add(record);
            bytes += record.data().size();
        }

        void dropBefore(long offset) {
            int count = (int) Math.max(0, Math.min(records.size(), offset - firstOffset));
            drop(count);
        }

        void dropExpired(long beforeMs, long maxBytes) {
            int count = 0;
            long leftBytes = bytes;
            while (count < records.size() && (records.get(count).appendedAtMs() < beforeMs || leftBytes > maxBytes)) {
                leftBytes -= records.get(count).data().size();
                count++;
            }
            drop(count);
        }

        void truncate(long nextOffset) {
            while (nextOffset() > nextOffset && !records.isEmpty()) {
                bytes -= records.remove(records.size() - 1).data().size();
            }
        }

        private void drop(int count) {
            List<LogRecord> dropped = records.subList(0, count);
            for (LogRecord r : dropped) {
                bytes -= r.data().size();
            }
            dropped.clear();
            firstOffset += count;
        }
    }
}
