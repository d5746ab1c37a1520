package org.gooseberrypier.ticket;

import java.util.TreeMap;
import java.util.zip.CRC32C;

import org.gooseberrypier.lib.Payload;

/** Digests of the newest records of the ticket stream, to detect that an offset holds another record than before. */
final class RecordDigests {

    /** The value of a digest that is not known. */
    static final long UNKNOWN = -1;

    /** The maximum number of digests kept; the offsets that two peers have reached rarely differ by more. */
    private static final int MAX_DIGESTS = 2_000;

    private final TreeMap<Long, Long> digests = new TreeMap<>();

    /** Returns the CRC-32C of a record's bytes. */
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
        if (digests.size() > MAX_DIGESTS) {
            digests.pollFirstEntry();
        }
    }

    /** Returns the digest of the record at an offset, or {@link #UNKNOWN}. */
    long get(long offset) {
        return digests.getOrDefault(offset, UNKNOWN);
    }

    /** Returns whether both the stored and the given digest of an offset are known and differ. */
    boolean differs(long offset, long digest) {
        long known = get(offset);
        return known != UNKNOWN && digest != UNKNOWN && known != digest;
    }

    /** Removes the digests from an offset on, because the stream now holds other records there. */
    void removeFrom(long offset) {
        digests.tailMap(offset, true).clear();
    }
}
