package org.gooseberrypier.internal.board;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.peer.KeyRecord;
import org.gooseberrypier.peer.ShardSnapshot;

/** The state that this VM holds of one key shard. */
public final class ShardState {

    /** The role and progress of this VM for the shard in the current view. */
    public enum Phase {
        /** The VM is not a holder, or is the backup, or has sealed the shard. */
        PASSIVE,
        /** The VM is the primary and collects the state from the holders in older views. */
        COLLECTING,
        /** The VM is the primary and copies the state to the backup. */
        COPYING,
        /** The VM is the primary and accepts submissions. */
        ACTIVE
    }

    private final Map<JobId, KeyRecord> records = new LinkedHashMap<>();
    private Phase phase = Phase.PASSIVE;
    private long sealedBelow;
    private long completeView;
    private long activeView;
    private long lostBeforeMs;
    private long lostUntilMs;
    private long expiredBeforeMs;

    /**
     * Returns the records by job.
     *
     * @return the records; only the controller that owns the section may change the map
     */
    public Map<JobId, KeyRecord> records() {
        return records;
    }

    /**
     * Returns the phase of the shard on this VM.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Sets the phase of the shard on this VM.
     *
     * @param value the phase
     */
    public void setPhase(Phase value) {
        phase = value;
    }

    /**
     * Returns the view below which the shard is sealed: in older views this VM stores no records and starts no jobs.
     *
     * @return the number of the oldest view that is still allowed
     */
    public long sealedBelow() {
        return sealedBelow;
    }

    /**
     * Seals the shard on this VM below a view; a view older than that of an earlier seal has no effect.
     *
     * @param view the number of the oldest view that is still allowed
     */
    public void sealBelow(long view) {
        sealedBelow = Math.max(sealedBelow, view);
    }

    /**
     * Returns the newest view in which this VM held the whole shard.
     *
     * @return the number of the view, 0 if there is none
     */
    public long completeView() {
        return completeView;
    }

    /**
     * Sets the newest view in which this VM held the whole shard.
     *
     * @param view the number of the view
     */
    public void setCompleteView(long view) {
        completeView = view;
    }

    /**
     * Returns the newest view in which the shard is known to have been active.
     *
     * @return the number of the view, 0 if none is known
     */
    public long activeView() {
        return activeView;
    }

    /**
     * Sets the newest view in which the shard is known to have been active; an older view has no effect.
     *
     * @param view the number of the view
     */
    public void setActiveView(long view) {
        activeView = Math.max(activeView, view);
    }

    /**
     * Returns the submission time before which jobs may have been started without a record on this VM.
     *
     * @return milliseconds since the epoch
     */
    public long lostBeforeMs() {
        return lostBeforeMs;
    }

    /**
     * Returns the time until which keys without a submission time must be refused, because their jobs may have been
     * started without a record on this VM.
     *
     * @return milliseconds since the epoch
     */
    public long lostUntilMs() {
        return lostUntilMs;
    }

    /**
     * Marks the records of older keys as lost; earlier times than those already set have no effect.
     *
     * @param beforeMs the submission time before which jobs may have been started, in milliseconds since the epoch
     * @param untilMs the time until which keys without a submission time must be refused, in milliseconds since the
     *     epoch
     */
    public void markLost(long beforeMs, long untilMs) {
        lostBeforeMs = Math.max(lostBeforeMs, beforeMs);
        lostUntilMs = Math.max(lostUntilMs, untilMs);
    }

    /**
     * Returns the submission time before which records have been dropped as expired.
     *
     * @return milliseconds since the epoch
     */
    public long expiredBeforeMs() {
        return expiredBeforeMs;
    }

    /**
     * Raises the submission time before which records have been dropped; an earlier time has no effect.
     *
     * @param value milliseconds since the epoch
     */
    public void raiseExpiredBeforeMs(long value) {
        expiredBeforeMs = Math.max(expiredBeforeMs, value);
    }

    /**
     * Copies the current state.
     *
     * @return the copy
     */
    public ShardSnapshot snapshot() {
        List<KeyRecord> all = new ArrayList<>(records.values());
        return new ShardSnapshot(completeView, activeView, lostBeforeMs, lostUntilMs, expiredBeforeMs, all);
    }

    /**
     * Merges the loss and expiry times and the active view of another holder's state into this one.
     *
     * @param other the state of the other holder
     */
    public void mergeBounds(ShardSnapshot other) {
        markLost(other.lostBeforeMs(), other.lostUntilMs());
        raiseExpiredBeforeMs(other.expiredBeforeMs());
        setActiveView(other.activeView());
    }
}
