package org.gooseberrypier.load.pool;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in virtual time, in milliseconds; actions of the same time run in the order in which they were
 * scheduled.
 */
final class VirtualTimeScheduler {

    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atMs).thenComparingLong(ScheduledAction::sequence));
    private long currentMs;
    private long nextSequence;

    private record ScheduledAction(long atMs, long sequence, Runnable action) {}

    long nowMs() {
        return currentMs;
    }

    void scheduleAt(long atMs, Runnable action) {
        queue.add(new ScheduledAction(Math.max(currentMs, atMs), nextSequence++, action));
    }

    void scheduleAfter(long ms, Runnable action) {
        scheduleAt(currentMs + ms, action);
    }

    void runUntil(long endMs) {
        while (!queue.isEmpty() && queue.peek().atMs() <= endMs) {
            ScheduledAction s = queue.poll();
            currentMs = s.atMs();
            s.action().run();
        }
        currentMs = endMs;
    }
}
