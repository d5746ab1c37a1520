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

/** Keeps the records of keys within the bounds of the settings: answers may be dropped, keys never before they expire. */
final class RecordStore {

    private static final long RECORD_OVERHEAD_BYTES = 200;
    private static final long EXPIRY_SKEWS = 2;

    private final Blackboard board;
    private final Map<JobId, Integer> answered = new LinkedHashMap<>();

    RecordStore(Blackboard board) {
        this.board = board;
    }

    /** Tells whether one more key would exceed the bound. */
    boolean isFull() {
        return board.shards().keys() >= board.settings().maxKeys();
    }

    KeyRecord get(int shard, JobId job) {
        return board.shards().get(shard).records().get(job);
    }

    /** Adds a record, or replaces that of the same key unless that one has ended already. */
    void put(int shard, KeyRecord next) {
        var records = board.shards().get(shard).records();
        KeyRecord before = records.get(next.job());
        if (before == null && isFull()) {
            throw new InvariantViolationException(
                    "more keys than " + board.settings().maxKeys());
        }
        if (before != null && before.ended()) {
            return;
        }
        records.put(next.job(), next);
        count(before, next);
        if (next.answer().isPresent()) {
            answered.put(next.job(), shard);
        }
        dropAnswersOverBound();
    }

    void remove(int shard, JobId job) {
        KeyRecord before = board.shards().get(shard).records().remove(job);
        answered.remove(job);
        count(before, null);
    }

    void clear(int shard) {
        ShardState s = board.shards().get(shard);
        for (KeyRecord r : s.records().values()) {
            answered.remove(r.job());
            count(r, null);
        }
        s.records().clear();
    }

    /** Replaces all records of a shard by those of another holder, also beyond the bound of keys. */
    void replace(int shard, ShardSnapshot snapshot) {
        clear(shard);
        ShardState s = board.shards().get(shard);
        s.mergeBounds(snapshot);
        for (KeyRecord r : snapshot.records()) {
            s.records().put(r.job(), r);
            count(null, r);
            if (r.answer().isPresent()) {
                answered.put(r.job(), shard);
            }
        }
        dropAnswersOverBound();
    }

    /** Drops the records of keys that every resubmission is refused for. */
    void expire(int shard, long nowMs) {
        ShardState s = board.shards().get(shard);
        long retention = board.tickets().inForce().limits().keyRetentionMs();
        long before = nowMs - retention - EXPIRY_SKEWS * board.settings().maxClockSkewMs();
        Iterator<KeyRecord> i = s.records().values().iterator();
        while (i.hasNext()) {
            KeyRecord r = i.next();
            boolean over = r.ended() || nowMs > r.deadlineAtMs() + retention;
            if (r.submittedAtMs() < before && over) {
                i.remove();
                answered.remove(r.job());
                count(r, null);
            }
        }
        s.raiseExpiredBeforeMs(before);
    }

    private void count(KeyRecord before, KeyRecord after) {
        int keys = (after == null ? 0 : 1) - (before == null ? 0 : 1);
        board.shards().adjustTotals(keys, bytes(after) - bytes(before));
    }

    private void dropAnswersOverBound() {
        Iterator<Map.Entry<JobId, Integer>> oldest = answered.entrySet().iterator();
        while (board.shards().answerBytes() > board.settings().maxKeptAnswerBytes() && oldest.hasNext()) {
            Map.Entry<JobId, Integer> e = oldest.next();
            oldest.remove();
            var records = board.shards().get(e.getValue()).records();
            KeyRecord full = records.get(e.getKey());
            KeyRecord small = full.withoutAnswer();
            records.put(e.getKey(), small);
            count(full, small);
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
