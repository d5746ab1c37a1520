package org.gooseberrypier.internal.board;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.peer.KeyRecord;
import org.gooseberrypier.peer.ShardSnapshot;

/** What this VM holds of one key shard. */
public final class ShardState {

    /** What this VM does for the shard in the view in force. */
    public enum Phase {
        /** It is no holder, or only the backup, or it is sealed. */
        PASSIVE,
        /** It is the primary and collects the state from the holders of older views. */
        COLLECTING,
        /** It is the primary and copies the state to the backup. */
        COPYING,
        /** It is the primary and decides about keys. */
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
     * @return the records, to be changed by the owner of the section only
     */
    public Map<JobId, KeyRecord> records() {
        return records;
    }

    /**
     * Returns what this VM does for the shard.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Changes what this VM does for the shard.
     *
     * @param value the phase
     */
    public void setPhase(Phase value) {
        phase = value;
    }

    /**
     * Returns below which view this VM records and starts nothing.
     *
     * @return the number of the view
     */
    public long sealedBelow() {
        return sealedBelow;
    }

    /**
     * Seals the shard here against older views.
     *
     * @param view the oldest view that is still allowed
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
     * Notes that this VM holds the whole shard in a view.
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
     * Notes that the shard was active in a view.
     *
     * @param view the number of the view
     */
    public void setActiveView(long view) {
        activeView = Math.max(activeView, view);
    }

    /**
     * Returns the time before which keys may have started without a record here.
     *
     * @return milliseconds since the epoch
     */
    public long lostBeforeMs() {
        return lostBeforeMs;
    }

    /**
     * Returns the time until which a key without a time may have started without a record here.
     *
     * @return milliseconds since the epoch
     */
    public long lostUntilMs() {
        return lostUntilMs;
    }

    /**
     * Notes that records were lost.
     *
     * @param beforeMs keys submitted before this time may have started, in milliseconds since the epoch
     * @param untilMs until then keys without a time may have started, in milliseconds since the epoch
     */
    public void markLost(long beforeMs, long untilMs) {
        lostBeforeMs = Math.max(lostBeforeMs, beforeMs);
        lostUntilMs = Math.max(lostUntilMs, untilMs);
    }

    /**
     * Returns the time before which records have been dropped.
     *
     * @return milliseconds since the epoch
     */
    public long expiredBeforeMs() {
        return expiredBeforeMs;
    }

    /**
     * Notes that older records have been dropped.
     *
     * @param value milliseconds since the epoch
     */
    public void raiseExpiredBeforeMs(long value) {
        expiredBeforeMs = Math.max(expiredBeforeMs, value);
    }

    /**
     * Takes the state as it is now.
     *
     * @return the state
     */
    public ShardSnapshot snapshot() {
        List<KeyRecord> all = new ArrayList<>(records.values());
        return new ShardSnapshot(completeView, activeView, lostBeforeMs, lostUntilMs, expiredBeforeMs, all);
    }

    /**
     * Takes over the bounds of another holder's state.
     *
     * @param other the state
     */
    public void mergeBounds(ShardSnapshot other) {
        markLost(other.lostBeforeMs(), other.lostUntilMs());
        raiseExpiredBeforeMs(other.expiredBeforeMs());
        setActiveView(other.activeView());
    }
}
