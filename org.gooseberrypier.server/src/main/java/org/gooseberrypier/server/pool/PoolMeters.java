package org.gooseberrypier.server.pool;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.gooseberrypier.pool.ClaimResult;
import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.StartResult;

/** Records the metrics of a pool VM. */
final class PoolMeters {

    /** Bucket bounds of the response time histogram, around the latency objectives of the users' queues. */
    private static final Duration[] RESPONSE_TIME_BUCKETS = {
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5)
    };

    private final MeterRegistry registry;

    PoolMeters(MeterRegistry registry) {
        this.registry = registry;
    }

    void recordOutcome(JobOutcome outcome, long tookNanos) {
        Timer.builder("gooseberrypier.pool.jobs")
                .description("Response times of jobs by outcome")
                .tag("outcome", name(outcome))
                .serviceLevelObjectives(RESPONSE_TIME_BUCKETS)
                .register(registry)
                .record(tookNanos, TimeUnit.NANOSECONDS);
    }

    void recordStart(StartResult result) {
        registry.counter("gooseberrypier.pool.starts", "result", result.name().toLowerCase(Locale.ROOT))
                .increment();
    }

    void recordLeaseRenewal(LeaseRenewalResult result) {
        registry.counter("gooseberrypier.pool.holds", "result", name(result)).increment();
    }

    void recordClaim(ClaimResult result) {
        registry.counter("gooseberrypier.pool.claims", "result", name(result)).increment();
    }

    void gauge(String name, String description, BooleanSupplier value) {
        Gauge.builder("gooseberrypier.pool." + name, value, v -> v.getAsBoolean() ? 1 : 0)
                .strongReference(true)
                .description(description)
                .register(registry);
    }

    private static String name(Object result) {
        return result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    }
}
