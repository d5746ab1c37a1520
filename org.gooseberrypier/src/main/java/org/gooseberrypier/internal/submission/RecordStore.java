package org.gooseberrypier.internal.submission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.ShardState;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.TaskResult;
import org.gooseberrypier.peer.KeyRecord;
import org.gooseberrypier.peer.ShardSnapshot;

/** Stores key records within the limits of the settings: answers may be dropped early, keys only after their expiry. */
final class RecordStore {

    private static final long RECORD_OVERHEAD_BYTES = 200;
    private static final long EXPIRY_SKEW_FACTOR = 2;

    private final Blackboard board;
    private final Map<JobId, Integer> shardsByAnsweredJob = new LinkedHashMap<>();

    RecordStore(Blackboard board) {
        this.board = board;
    }

    /** Tells whether one more key would exceed the limit on keys. */
    boolean isFull() {
        return board.shards().keys() >= board.settings().maxKeys();
    }

    KeyRecord get(int shard, JobId job) {
        return board.shards().get(shard).records().get(job);
    }

    /** Adds a record, or replaces the record of the same key unless its job has already ended. */
    void put(int shard, KeyRecord next) {
        var records = board.shards().get(shard).records();
        KeyRecord before = records.get(next.job());
        if (before == null && isFull()) {
            throw new InvariantViolationException(
                    "key record added beyond the limit of " + board.settings().maxKeys() + " keys");
        }
        if (before != null && before.ended()) {
            return;
        }
        records.put(next.job(), next);
        updateTotals(before, next);
        if (next.answer().isPresent()) {
            shardsByAnsweredJob.put(next.job(), shard);
        }
        dropAnswersOverLimit();
    }

    void remove(int shard, JobId job) {
        KeyRecord before = board.shards().get(shard).records().remove(job);
        shardsByAnsweredJob.remove(job);
        updateTotals(before, null);
    }

    void clear(int shard) {
        ShardState s = board.shards().get(shard);
        for (KeyRecord r : s.records().values()) {
            shardsByAnsweredJob.remove(r.job());
            updateTotals(r, null);
        }
        s.records().clear();
    }

    /** Replaces all records of a shard with those of another holder, even beyond the limit on keys. */
    void replace(int shard, ShardSnapshot snapshot) {
        clear(shard);
        ShardState s = board.shards().get(shard);
        s.mergeBounds(snapshot);
        for (KeyRecord r : snapshot.records()) {
            s.records().put(r.job(), r);
            updateTotals(null, r);
            if (r.answer().isPresent()) {
                shardsByAnsweredJob.put(r.job(), shard);
            }
        }
        dropAnswersOverLimit();
    }

    /** Drops the records of a shard whose keys are so old that every resubmission is refused. */
    void expire(int shard, long nowMs) {
        ShardState s = board.shards().get(shard);
        long retention = board.tickets().inForce().limits().keyRetentionMs();
        long expiredBeforeMs =
                nowMs - retention - EXPIRY_SKEW_FACTOR * board.settings().maxClockSkewMs();
        Iterator<KeyRecord> i = s.records().values().iterator();
        while (i.hasNext()) {
            KeyRecord r = i.next();
            boolean isEnded = r.ended() || nowMs > r.deadlineAtMs() + retention;
            if (r.submittedAtMs() < expiredBeforeMs && isEnded) {
                i.remove();
                shardsByAnsweredJob.remove(r.job());
                updateTotals(r, null);
            }
        }
        s.raiseExpiredBeforeMs(expiredBeforeMs);
    }

    private void updateTotals(KeyRecord before, KeyRecord after) {
        int keys = (after == null ? 0 : 1) - (before == null ? 0 : 1);
        board.shards().adjustTotals(keys, bytes(after) - bytes(before));
    }

    private void dropAnswersOverLimit() {
        Iterator<Map.Entry<JobId, Integer>> oldest =
                shardsByAnsweredJob.entrySet().iterator();
        while (board.shards().answerBytes() > board.settings().maxKeptAnswerBytes() && oldest.hasNext()) {
            Map.Entry<JobId, Integer> e = oldest.next();
            oldest.remove();
            var records = board.shards().get(e.getValue()).records();
            KeyRecord full = records.get(e.getKey());
            KeyRecord reduced = full.withoutAnswer();
            records.put(e.getKey(), reduced);
            updateTotals(full, reduced);
        }
    }

    private static long bytes(KeyRecord r) {
        if (r == null || r.answer().isEmpty()) {
            return 0;
        }
        long sum = RECORD_OVERHEAD_BYTES;
        if (r.answer().get() instanceof Answer.Complete c) {
            for (TaskResult t : c.results()) {
                sum += t.id().length() + t.body().size();
            }
        }
        return sum;
    }
}
