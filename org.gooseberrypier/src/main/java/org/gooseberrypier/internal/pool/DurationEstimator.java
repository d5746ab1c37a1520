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

    /** Weight of a new observation of one endpoint: the last ten or so decide, as endpoints turn slow for seconds. */
    private static final double OWN_WEIGHT = 0.2;

    /** Below this an endpoint counts as usual: what is declared is off by up to 1.7 times, and ten runs differ by 0.1. */
    private static final double NOTABLY_SLOW = 1.5;

    /** Time constant with which an endpoint counts as usual again, in milliseconds; faults of endpoints last seconds. */
    private static final double SLOWNESS_FADES_MS = 3_000;

    /** Observations outside of this range tell of faults, not of speed. */
    private static final double MAX_RATIO = 4;

    /** Before this many observations a kind counts as average. */
    private static final int MIN_OBSERVATIONS = 5;

    private final Map<String, Mean> byKind = new HashMap<>();
    private double fastest = 1;

    /** Takes the duration of a run that ended well. */
    void observe(PoolJob job, LeasedEndpoint endpoint, long tookMs, long now) {
        double ratio = tookMs / (double) Math.max(1, job.estimateMs()) / rackFactor(job, endpoint);
        double slowness = slowness(endpoint, now);
        double own = Math.min(MAX_RATIO, ratio / kindFactor(endpoint));
        endpoint.slowness = slowness + OWN_WEIGHT * (own - slowness);
        endpoint.slownessAtMs = now;
        byKind.computeIfAbsent(endpoint.registration.kind(), k -> new Mean()).add(Math.min(MAX_RATIO, ratio));
        fastest = MAX_RATIO;
        for (Mean m : byKind.values()) {
            fastest = Math.min(fastest, m.value());
        }
    }

    /** Returns how many times as long as declared a task takes on an endpoint. */
    double slowdownFactor(LeasedEndpoint endpoint, long now) {
        boolean slow = endpoint.slowness > NOTABLY_SLOW && slowness(endpoint, now) > NOTABLY_SLOW;
        return kindFactor(endpoint) * (slow ? slowness(endpoint, now) : 1);
    }

    /** An endpoint that was found slow gets few tasks and so shows late that it is not any more: what is known fades. */
    private static double slowness(LeasedEndpoint endpoint, long now) {
        return 1 + (endpoint.slowness - 1) * Math.exp((endpoint.slownessAtMs - now) / SLOWNESS_FADES_MS);
    }

    private double kindFactor(LeasedEndpoint endpoint) {
        Mean mean = byKind.get(endpoint.registration.kind());
        return mean == null ? 1 : mean.value();
    }

    /** Returns the expected duration of a task on an endpoint, in milliseconds. */
    double expectedMs(PoolJob job, LeasedEndpoint endpoint, long now) {
        return job.estimateMs() * slowdownFactor(endpoint, now) * rackFactor(job, endpoint);
    }

    /** Returns the expected duration on the fastest kind, in milliseconds. */
    double fastestMs(PoolJob job) {
        return job.estimateMs() * fastest;
    }

    private double remotePenalty = 1;

    void setRemotePenalty(double value) {
        remotePenalty = value;
    }

    private double rackFactor(PoolJob job, LeasedEndpoint endpoint) {
        boolean far = !job.preferredRack().isEmpty()
                && !endpoint.registration.labels().contains(job.preferredRack());
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
