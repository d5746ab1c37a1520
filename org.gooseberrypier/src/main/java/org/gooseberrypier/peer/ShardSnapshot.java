package org.gooseberrypier.peer;

import java.util.List;

/**
 * The complete state of a key shard, as one holder sends it to another.
 *
 * @param completeView the number of the newest view in which the sender held the complete shard, 0 if there is none
 * @param activeView the number of the newest view in which the shard is known to the sender to have been active, 0 if
 *     there is none
 * @param lostBeforeMs keys submitted before this time may have started without a record at the sender, in
 *     milliseconds since the epoch
 * @param lostUntilMs until this time a key without a submission time may have started without a record at the
 *     sender, in milliseconds since the epoch
 * @param expiredBeforeMs records of keys submitted before this time have been removed, in milliseconds since the epoch
 * @param records the records of the keys
 */
public record ShardSnapshot(
        long completeView,
        long activeView,
        long lostBeforeMs,
        long lostUntilMs,
        long expiredBeforeMs,
        List<KeyRecord> records) {

    /** Copies the list. */
    public ShardSnapshot {
        records = List.copyOf(records);
    }
}
