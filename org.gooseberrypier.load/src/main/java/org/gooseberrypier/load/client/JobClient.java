package org.gooseberrypier.load.client;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpRequestSpec;

/**
 * Submits jobs and retries them as callers should.
 *
 * <p>A job with an idempotency key is submitted again, to the next VM and with the same headers, if no answer arrives
 * within the attempt timeout. A job without a key is submitted again only if the request was certainly not sent.
 */
public final class JobClient {

    private final HttpClient http;
    private final Supplier<List<HostPort>> vms;
    private final String homeZone;
    private final long attemptTimeoutMs;
    private final UniformRandomProvider random;
    private final AtomicInteger next = new AtomicInteger();

    private JobClient(Builder builder) {
        http = builder.http;
        vms = builder.vms;
        homeZone = builder.homeZone;
        attemptTimeoutMs = builder.attemptTimeoutMs;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(builder.seed);
    }

    /**
     * Creates a builder.
     *
     * @param http the client that sends the requests
     * @param vms supplies the current addresses of the entry VMs, in the order in which they are used
     * @return the builder
     */
    public static Builder builder(HttpClient http, Supplier<List<HostPort>> vms) {
        return new Builder(http, vms);
    }

    /**
     * Creates a submission.
     *
     * @return the command, to be configured and then called
     */
    public SubmitCommand submit() {
        return new SubmitCommand(this);
    }

    /**
     * Creates an idempotency key for a job.
     *
     * @return a version 7 UUID
     */
    public synchronized String newKey() {
        UUID key = UuidV7.create(System.currentTimeMillis(), random);
        return key.toString();
    }

    /**
     * Requests the state of a job that has an idempotency key.
     *
     * @param team the team that submitted the job
     * @param key the idempotency key
     * @return the reply
     */
    public CompletableFuture<HttpReply> status(String team, String key) {
        return sendForKey("GET", team, key);
    }

    /**
     * Cancels a job that has an idempotency key.
     *
     * @param team the team that submitted the job
     * @param key the idempotency key
     * @return the reply
     */
    public CompletableFuture<HttpReply> cancel(String team, String key) {
        return sendForKey("DELETE", team, key);
    }

    HostPort nextVm() {
        List<HostPort> list = vms.get();
        if (list.isEmpty()) {
            throw new IllegalStateException("the list of entry VMs is empty");
        }
        return list.get(Math.floorMod(next.getAndIncrement(), list.size()));
    }

    HttpClient http() {
        return http;
    }

    String homeZone() {
        return homeZone;
    }

    long attemptTimeoutMs() {
        return attemptTimeoutMs;
    }

    private CompletableFuture<HttpReply> sendForKey(String method, String team, String key) {
        Map<String, String> headers =
                homeZone == null ? Map.of("Team", team) : Map.of("Team", team, "Home-Zone", homeZone);
        return http.send(
                nextVm(), new HttpRequestSpec(method, "/v1/jobs/" + key, headers, new byte[0], attemptTimeoutMs));
    }

    /** Builds a client. */
    public static final class Builder {

        private static final long DEFAULT_ATTEMPT_TIMEOUT_MS = 15_000;

        private final HttpClient http;
        private final Supplier<List<HostPort>> vms;
        private String homeZone;
        private long attemptTimeoutMs = DEFAULT_ATTEMPT_TIMEOUT_MS;
        private long seed = System.nanoTime();

        private Builder(HttpClient http, Supplier<List<HostPort>> vms) {
            this.http = Objects.requireNonNull(http, "http");
            this.vms = Objects.requireNonNull(vms, "vms");
        }

        /**
         * Sets the home zone: the availability zone that is responsible for the idempotency keys of this client.
         *
         * @param value the zone, null to send no home zone
         * @return this builder
         */
        public Builder homeZone(String value) {
            homeZone = value;
            return this;
        }

        /**
         * Sets the timeout of an attempt, after which a job with an idempotency key is submitted again.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder attemptTimeoutMs(long value) {
            attemptTimeoutMs = value;
            return this;
        }

        /**
         * Sets the seed of the random bits in idempotency keys.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Builds the client.
         *
         * @return the client
         */
        public JobClient build() {
            return new JobClient(this);
        }
    }
}
