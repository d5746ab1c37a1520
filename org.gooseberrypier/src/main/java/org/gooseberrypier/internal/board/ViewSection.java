package org.gooseberrypier.internal.board;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.errors.InvariantViolationException;

/** The zone view in force and the older ones whose shards may still have to be collected. */
public final class ViewSection {

    private static final int MAX_OLDER = 64;

    private final List<ZoneView> older = new ArrayList<>();
    private final long[] activeIn = new long[ShardHolders.SHARDS];
    private ZoneView current = ZoneView.NONE;
    private long firstNumber;

    /**
     * Returns the view in force.
     *
     * @return the view, {@link ZoneView#NONE} before the first
     */
    public ZoneView current() {
        return current;
    }

    /**
     * Returns the older views that are known, the oldest first.
     *
     * @return the views
     */
    public List<ZoneView> older() {
        return List.copyOf(older);
    }

    /**
     * Tells whether no view came before the oldest one that is known.
     *
     * @return whether the history goes back to the first view of the zone
     */
    public boolean isHistoryComplete() {
        return firstNumber == 1;
    }

    /**
     * Returns the newest view in which a shard is known to have been active.
     *
     * @param shard the shard
     * @return the number of the view, 0 if none is known
     */
    public long activeView(int shard) {
        return activeIn[shard];
    }

    /**
     * Notes that a shard was active in a view, and forgets the older views that no shard needs any more.
     *
     * @param shard the shard
     * @param view the number of the view
     */
    public void setActiveView(int shard, long view) {
        if (view <= activeIn[shard]) {
            return;
        }
        activeIn[shard] = view;
        long needed = Long.MAX_VALUE;
        for (long a : activeIn) {
            needed = Math.min(needed, a);
        }
        long oldest = needed;
        if (older.removeIf(v -> v.number() < oldest)) {
            firstNumber = older.isEmpty() ? current.number() : older.get(0).number();
        }
    }

    /**
     * Puts the next view into force.
     *
     * @param next the view
     */
    public void install(ZoneView next) {
        if (next.number() <= current.number()) {
            throw new InvariantViolationException("view " + next.number() + " after view " + current.number());
        }
        if (current.isPresent()) {
            older.add(current);
        } else {
            firstNumber = next.number();
        }
        current = next;
        if (older.size() > MAX_OLDER) {
            older.remove(0);
            firstNumber = older.get(0).number();
        }
    }

    /**
     * Puts a view into force of which not all earlier ones are known.
     *
     * @param history the earlier views that are known, the oldest first
     * @param next the view
     */
    public void installWithHistory(List<ZoneView> history, ZoneView next) {
        older.clear();
        older.addAll(history);
        firstNumber = older.isEmpty() ? next.number() : older.get(0).number();
        if (next.number() <= current.number()) {
            throw new InvariantViolationException("view " + next.number() + " after view " + current.number());
        }
        current = next;
    }
}
