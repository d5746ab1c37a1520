package org.gooseberrypier.load.pool;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions at their virtual times, in milliseconds; those of the same time in the order in which they were added. */
final class VirtualTimeScheduler {

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMs).thenComparingLong(Step::order));
    private long now;
    private long order;

    private record Step(long atMs, long order, Runnable action) {}

    long nowMs() {
        return now;
    }

    void scheduleAt(long atMs, Runnable action) {
        steps.add(new Step(Math.max(now, atMs), order++, action));
    }

    void scheduleAfter(long ms, Runnable action) {
        scheduleAt(now + ms, action);
    }

    void runUntil(long endMs) {
        while (!steps.isEmpty() && steps.peek().atMs() <= endMs) {
            Step s = steps.poll();
            now = s.atMs();
            s.action().run();
        }
        now = endMs;
    }
}
