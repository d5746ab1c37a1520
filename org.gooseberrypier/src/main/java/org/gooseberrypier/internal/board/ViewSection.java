package org.gooseberrypier.internal.board;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.errors.InvariantViolationException;

/** The current zone view and the older views from whose holders shards may still have to be collected. */
public final class ViewSection {

    private static final int MAX_OLDER_VIEWS = 64;

    private final List<ZoneView> older = new ArrayList<>();
    private final long[] activeViews = new long[ShardHolders.SHARDS];
    private ZoneView current = ZoneView.NONE;
    private long firstNumber;

    /**
     * Returns the current view.
     *
     * @return the view, {@link ZoneView#NONE} before the first
     */
    public ZoneView current() {
        return current;
    }

    /**
     * Returns the known older views, oldest first.
     *
     * @return the views
     */
    public List<ZoneView> older() {
        return List.copyOf(older);
    }

    /**
     * Tells whether the known views include the first view of the zone.
     *
     * @return whether no view precedes the oldest known view
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
        return activeViews[shard];
    }

    /**
     * Marks a shard as active in a view, and drops the older views that no shard needs any more.
     *
     * @param shard the shard
     * @param view the number of the view
     */
    public void setActiveView(int shard, long view) {
        if (view <= activeViews[shard]) {
            return;
        }
        activeViews[shard] = view;
        long needed = Long.MAX_VALUE;
        for (long a : activeViews) {
            needed = Math.min(needed, a);
        }
        long oldest = needed;
        if (older.removeIf(v -> v.number() < oldest)) {
            firstNumber = older.isEmpty() ? current.number() : older.get(0).number();
        }
    }

    /**
     * Installs the next view as the current one.
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
        if (older.size() > MAX_OLDER_VIEWS) {
            older.remove(0);
            firstNumber = older.get(0).number();
        }
    }

    /**
     * Installs a view as the current one and replaces the older views, which need not include all earlier ones.
     *
     * @param history the known earlier views, oldest first
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
