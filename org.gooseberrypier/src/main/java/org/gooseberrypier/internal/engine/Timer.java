package org.gooseberrypier.internal.engine;

/** A scheduled action that can be cancelled. */
public final class Timer implements Comparable<Timer> {

    private final long atMs;
    private final long sequence;
    private TimerAction action;

    Timer(long atMs, long sequence, TimerAction action) {
        this.atMs = atMs;
        this.sequence = sequence;
        this.action = action;
    }

    /** Cancels the action if it has not run yet. */
    public void cancel() {
        action = null;
    }

    boolean isCancelled() {
        return action == null;
    }

    long atMs() {
        return atMs;
    }

    void run(Context context) {
        TimerAction a = action;
        action = null;
        if (a != null) {
            a.run(context);
        }
    }

    @Override
    public int compareTo(Timer other) {
        int c = Long.compare(atMs, other.atMs);
        return c != 0 ? c : Long.compare(sequence, other.sequence);
    }
}
