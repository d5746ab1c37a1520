package org.gooseberrypier.internal.pool;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.pool.PoolJob;

/**
 * Learns how long tasks take against their callers' estimates, by queue and by the kind of the endpoint.
 *
 * <p>Load pattern: declared durations are off by up to 40 per cent, and endpoints of one service differ in speed by more
 * than twice.
 */
final class DurationEstimator {

    /** Weight of a new observation; some thirty observations decide. */
    private static final double WEIGHT = 0.03;

    /** Observations outside of this range tell of faults, not of speed. */
    private static final double MAX_RATIO = 4;

    /** Before this many observations a kind counts as average. */
    private static final int MIN_OBSERVATIONS = 5;

    private final Map<String, Mean> byKind = new HashMap<>();
    private double fastest = 1;

    /** Takes the duration of a run that ended well. */
    void observe(PoolJob job, LeasedEndpoint endpoint, long tookMs) {
        double ratio = tookMs / (double) Math.max(1, job.estimateMs()) / rackFactor(job, endpoint);
        byKind.computeIfAbsent(endpoint.entry.kind(), k -> new Mean()).add(Math.min(MAX_RATIO, ratio));
        fastest = MAX_RATIO;
        for (Mean m : byKind.values()) {
            fastest = Math.min(fastest, m.value());
        }
    }

    /** Returns how many times as long as declared a task takes on an endpoint. */
    double factor(LeasedEndpoint endpoint) {
        Mean mean = byKind.get(endpoint.entry.kind());
        return mean == null ? 1 : mean.value();
    }

    /** Returns the expected duration of a task on an endpoint, in milliseconds. */
    double expectMs(PoolJob job, LeasedEndpoint endpoint) {
        return job.estimateMs() * factor(endpoint) * rackFactor(job, endpoint);
    }

    /** Returns the expected duration on the fastest kind, in milliseconds. */
    double bestMs(PoolJob job) {
        return job.estimateMs() * fastest;
    }

    private double remotePenalty = 1;

    void setRemotePenalty(double value) {
        remotePenalty = value;
    }

    private double rackFactor(PoolJob job, LeasedEndpoint endpoint) {
        boolean far = !job.preferredRack().isEmpty() && !endpoint.entry.labels().contains(job.preferredRack());
        return far ? remotePenalty : 1;
    }

    private static final class Mean {
        private int count;
        private double value = 1;

        void add(double observed) {
            count++;
            double weight = Math.max(WEIGHT, 1.0 / count);
            value += weight * (observed - value);
        }

        double value() {
            return count < MIN_OBSERVATIONS ? 1 : value;
        }
    }
}
