package org.gooseberrypier.internal.pool;

import java.util.HashMap;
import java.util.Map;

/** The work that arrived lately, by queue and by the size of the job, as exponentially decaying rates. */
final class OfferedLoad {

    /** Time constant of the rates, in milliseconds: longer than jobs last and shorter than bursts. */
    private static final double DECAY_MS = 2_000;

    /** So many queues are kept before those without work are forgotten: operators add and remove queues all the time. */
    private static final int MAX_QUEUES = 1_000;

    /** A queue of which less than this arrives counts as without work, in thousandths of a core. */
    private static final double FORGOTTEN = 1;

    /** Sizes are told apart by their power of two. */
    private static final int BUCKETS = 64;

    private final Map<String, Queue> queues = new HashMap<>();

    /** Takes a job's work, in milliseconds of a thousandth of a core. */
    void observe(String queue, double work, long now) {
        if (queues.size() >= MAX_QUEUES && !queues.containsKey(queue)) {
            queues.values().removeIf(q -> q.all.value(now) < FORGOTTEN);
        }
        Queue q = queues.computeIfAbsent(queue, x -> new Queue());
        q.all.add(work, now);
        q.bySize[bucket(work)].add(work, now);
    }

    /** Returns how many queues are kept. */
    int queueCount() {
        return queues.size();
    }

    /** Returns how much of a queue arrives, in thousandths of a core. */
    double queueRate(String queue, long now) {
        Queue q = queues.get(queue);
        return q == null ? 0 : q.all.value(now);
    }

    /** Returns how much of all queues arrives, in thousandths of a core. */
    double rate(long now) {
        double sum = 0;
        for (Queue q : queues.values()) {
            sum += q.all.value(now);
        }
        return sum;
    }

    /** Returns how much arrives that goes before a job: less demanding queues, and smaller jobs of its own queue. */
    double rateAhead(String queue, double work, long now) {
        Queue own = queues.get(queue);
        if (own == null) {
            return 0;
        }
        double limit = own.all.value(now);
        double sum = 0;
        for (Queue q : queues.values()) {
            double rate = q.all.value(now);
            sum += rate < limit ? rate : 0;
        }
        for (int i = 0; i < bucket(work); i++) {
            sum += own.bySize[i].value(now);
        }
        return sum;
    }

    private static int bucket(double work) {
        return Math.min(BUCKETS - 1, Math.max(0, Math.getExponent(Math.max(1, work))));
    }

    private static final class Queue {
        private final Rate all = new Rate();
        private final Rate[] bySize = new Rate[BUCKETS];

        Queue() {
            for (int i = 0; i < BUCKETS; i++) {
                bySize[i] = new Rate();
            }
        }
    }

    private static final class Rate {
        private double value;
        private long atMs;
        private double asked;
        private long askedMs = Long.MIN_VALUE;

        void add(double work, long now) {
            value = value(now) + work / DECAY_MS;
            atMs = now;
            asked = value;
            askedMs = now;
        }

        /** Asked for each waiting job, mostly at one time: kept for that. */
        double value(long now) {
            if (value == 0) {
                return 0;
            }
            if (now != askedMs) {
                asked = value * Math.exp((atMs - now) / DECAY_MS);
                askedMs = now;
            }
            return asked;
        }
    }
}
