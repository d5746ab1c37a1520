package org.gooseberrypier.random;

import java.util.PriorityQueue;

/** A virtual clock with scheduled actions, which run one at a time in the order of their times. */
final class Schedule {

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private long nowMs;
    private long sequence;

    Schedule(long startMs) {
        nowMs = startMs;
    }

    long nowMs() {
        return nowMs;
    }

    void after(long delayMs, Runnable action) {
        entries.add(new Entry(nowMs + Math.max(0, delayMs), ++sequence, action));
    }

    long nextAtMs() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().atMs();
    }

    void advanceTo(long timeMs) {
        nowMs = Math.max(nowMs, timeMs);
    }

    /** Runs the first action if it is due, and returns whether it ran. */
    boolean runDue() {
        if (nextAtMs() > nowMs) {
            return false;
        }
        entries.poll().action().run();
        return true;
    }

    private record Entry(long atMs, long sequence, Runnable action) implements Comparable<Entry> {

        @Override
        public int compareTo(Entry other) {
            int c = Long.compare(atMs, other.atMs);
            return c != 0 ? c : Long.compare(sequence, other.sequence);
        }
    }
}
