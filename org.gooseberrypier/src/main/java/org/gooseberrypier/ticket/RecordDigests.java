package org.gooseberrypier.ticket;

import java.util.TreeMap;
import java.util.zip.CRC32C;

import org.gooseberrypier.lib.Payload;

/** Digests of the newest records of the ticket stream, to notice that an offset holds another record than before. */
final class RecordDigests {

    /** Stands for a digest that is not known. */
    static final long UNKNOWN = -1;

    /** How many records are remembered; peers are rarely further apart. */
    private static final int MAX_RECORDS = 2_000;

    private final TreeMap<Long, Long> digests = new TreeMap<>();

    /** Returns the digest of a record's bytes. */
    static long digest(Payload data) {
        CRC32C crc = new CRC32C();
        crc.update(data.bytes());
        return crc.getValue();
    }

    void put(long offset, long digest) {
        if (digest == UNKNOWN) {
            return;
        }
        digests.put(offset, digest);
        if (digests.size() > MAX_RECORDS) {
            digests.pollFirstEntry();
        }
    }

    /** Returns the digest of the record at an offset, or {@link #UNKNOWN}. */
    long get(long offset) {
        return digests.getOrDefault(offset, UNKNOWN);
    }

    /** Returns whether a record is not the one that was at its offset before. */
    boolean differs(long offset, long digest) {
        long known = get(offset);
        return known != UNKNOWN && digest != UNKNOWN && known != digest;
    }

    /** Forgets the records from an offset on, as the stream holds others now. */
    void removeFrom(long offset) {
        digests.tailMap(offset, true).clear();
    }
}
