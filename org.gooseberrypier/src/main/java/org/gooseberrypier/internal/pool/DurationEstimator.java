package org.gooseberrypier.internal.pool;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.pool.PoolJob;

/**
 * Estimates the duration of tasks from their callers' estimates and from past runs, by kind of endpoint and by endpoint.
 *
 * <p>Load pattern: declared durations are off by up to 40 per cent, and endpoints of one service differ in speed by more
 * than twice.
 */
final class DurationEstimator {

    /** Weight of a new observation of a kind; about the last thirty observations determine the mean. */
    private static final double KIND_WEIGHT = 0.03;

    /** Weight of a new observation of one endpoint: about the last ten count, since endpoints become slow for seconds. */
    private static final double ENDPOINT_WEIGHT = 0.2;

    /**
     * Slowness above which an endpoint is treated as slow. Declared durations are off by a factor of up to 1.7, and the mean
     * of ten runs varies by 0.1.
     */
    private static final double SLOW_THRESHOLD = 1.5;

    /** Time constant with which the slowness of an endpoint decays, in milliseconds; faults of endpoints last seconds. */
    private static final double SLOWNESS_DECAY_TIME_MS = 3_000;

    /** Upper limit of an observed ratio; higher ratios indicate faults, not speed. */
    private static final double MAX_RATIO = 4;

    /** Minimum number of observations; with fewer, a kind is treated as average. */
    private static final int MIN_KIND_OBSERVATIONS = 5;

    private final Map<String, Mean> byKind = new HashMap<>();
    private double fastestRatio = 1;

    /** Adds the duration of a completed run. */
    void observe(PoolJob job, LeasedEndpoint endpoint, long tookMs, long now) {
        double ratio = tookMs / (double) Math.max(1, job.estimateMs()) / rackFactor(job, endpoint);
        double slowness = slowness(endpoint, now);
        double own = Math.min(MAX_RATIO, ratio / kindFactor(endpoint));
        endpoint.slowness = slowness + ENDPOINT_WEIGHT * (own - slowness);
        endpoint.slownessAtMs = now;
        byKind.computeIfAbsent(endpoint.registration.kind(), k -> new Mean()).add(Math.min(MAX_RATIO, ratio));
        fastestRatio = MAX_RATIO;
        for (Mean m : byKind.values()) {
            fastestRatio = Math.min(fastestRatio, m.value());
        }
    }

    /** Returns the expected ratio of actual to declared duration on an endpoint. */
    double slowdownFactor(LeasedEndpoint endpoint, long now) {
        boolean slow = endpoint.slowness > SLOW_THRESHOLD && slowness(endpoint, now) > SLOW_THRESHOLD;
        return kindFactor(endpoint) * (slow ? slowness(endpoint, now) : 1);
    }

    /** Returns the decayed slowness; a slow endpoint gets few tasks, so that new observations would show its recovery late. */
    private static double slowness(LeasedEndpoint endpoint, long now) {
        return 1 + (endpoint.slowness - 1) * Math.exp((endpoint.slownessAtMs - now) / SLOWNESS_DECAY_TIME_MS);
    }

    private double kindFactor(LeasedEndpoint endpoint) {
        Mean mean = byKind.get(endpoint.registration.kind());
        return mean == null ? 1 : mean.value();
    }

    /** Returns the expected duration of a task on an endpoint, in milliseconds. */
    double expectedMs(PoolJob job, LeasedEndpoint endpoint, long now) {
        return job.estimateMs() * slowdownFactor(endpoint, now) * rackFactor(job, endpoint);
    }

    /** Returns the expected duration of a task on the fastest kind of endpoint, in milliseconds. */
    double fastestMs(PoolJob job) {
        return job.estimateMs() * fastestRatio;
    }

    private double remotePenalty = 1;

    void setRemotePenalty(double value) {
        remotePenalty = value;
    }

    private double rackFactor(PoolJob job, LeasedEndpoint endpoint) {
        boolean remote = !job.preferredRack().isEmpty()
                && !endpoint.registration.labels().contains(job.preferredRack());
        return remote ? remotePenalty : 1;
    }

    private static final class Mean {
        private int count;
        private double value = 1;

        void add(double observed) {
            count++;
            double weight = Math.max(KIND_WEIGHT, 1.0 / count);
            value += weight * (observed - value);
        }

        double value() {
            return count < MIN_KIND_OBSERVATIONS ? 1 : value;
        }
    }
}
