package org.gooseberrypier.internal.pool;

import java.util.HashMap;
import java.util.Map;

/** Measures the rate of arriving work by queue and job size, as exponentially decaying averages. */
final class OfferedLoad {

    /** Time constant of the rates, in milliseconds: longer than the duration of jobs and shorter than bursts. */
    private static final double DECAY_TIME_MS = 2_000;

    /** Number of queues from which on idle queues are evicted; operators add and remove queues continually. */
    private static final int EVICTION_THRESHOLD_QUEUES = 1_000;

    /** Rate below which a queue is idle, in thousandths of a core. */
    private static final double IDLE_MILLI_CORES = 1;

    /** Number of size classes; each covers one power of two. */
    private static final int SIZE_CLASSES = 64;

    private final Map<String, Queue> queues = new HashMap<>();

    /** Adds the work of an arrived job, in milliseconds of a thousandth of a core. */
    void observe(String queue, double work, long now) {
        if (queues.size() >= EVICTION_THRESHOLD_QUEUES && !queues.containsKey(queue)) {
            queues.values().removeIf(q -> q.total.value(now) < IDLE_MILLI_CORES);
        }
        Queue q = queues.computeIfAbsent(queue, x -> new Queue());
        q.total.add(work, now);
        q.bySize[sizeClass(work)].add(work, now);
    }

    /** Returns the number of queues that are kept. */
    int queueCount() {
        return queues.size();
    }

    /** Returns the rate of work that arrives for a queue, in thousandths of a core. */
    double queueRate(String queue, long now) {
        Queue q = queues.get(queue);
        return q == null ? 0 : q.total.value(now);
    }

    /** Returns the rate of work that arrives for all queues, in thousandths of a core. */
    double rate(long now) {
        double sum = 0;
        for (Queue q : queues.values()) {
            sum += q.total.value(now);
        }
        return sum;
    }

    /**
     * Returns the rate of work that arrives ahead of a job, in thousandths of a core: that of queues with a lower rate, and
     * that of smaller jobs of its own queue.
     */
    double rateAhead(String queue, double work, long now) {
        Queue own = queues.get(queue);
        if (own == null) {
            return 0;
        }
        double limit = own.total.value(now);
        double sum = 0;
        for (Queue q : queues.values()) {
            double rate = q.total.value(now);
            sum += rate < limit ? rate : 0;
        }
        for (int i = 0; i < sizeClass(work); i++) {
            sum += own.bySize[i].value(now);
        }
        return sum;
    }

    private static int sizeClass(double work) {
        return Math.min(SIZE_CLASSES - 1, Math.max(0, Math.getExponent(Math.max(1, work))));
    }

    private static final class Queue {
        private final Rate total = new Rate();
        private final Rate[] bySize = new Rate[SIZE_CLASSES];

        Queue() {
            for (int i = 0; i < SIZE_CLASSES; i++) {
                bySize[i] = new Rate();
            }
        }
    }

    private static final class Rate {
        private double value;
        private long atMs;
        private double decayed;
        private long decayedAtMs = Long.MIN_VALUE;

        void add(double work, long now) {
            value = value(now) + work / DECAY_TIME_MS;
            atMs = now;
            decayed = value;
            decayedAtMs = now;
        }

        /** Returns the decayed rate; cached per time, since it is read for each waiting job at the same time. */
        double value(long now) {
            if (value == 0) {
                return 0;
            }
            if (now != decayedAtMs) {
                decayed = value * Math.exp((atMs - now) / DECAY_TIME_MS);
                decayedAtMs = now;
            }
            return decayed;
        }
    }
}
