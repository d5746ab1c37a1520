package org.gooseberrypier.api;

import java.util.Objects;

import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.ZoneId;

/**
 * The settings of a dispatcher, fixed at its start.
 *
 * @param self this VM and its incarnation
 * @param zone the availability zone of this VM
 * @param placement the name of the placement policy
 * @param seed the seed of the dispatcher's random number generator
 * @param maxQueuedTasks the maximum number of tasks that wait at this VM
 * @param maxQueuedBytes the maximum size of all waiting tasks, in bytes
 * @param maxKeptAnswerBytes the maximum size of all final answers that are kept for resubmissions, in bytes
 * @param maxKeys the maximum number of idempotency keys that this VM keeps records of
 * @param stopTimeoutMs the time that a graceful stop waits for work in flight, in milliseconds
 * @param maxClockSkewMs the maximum difference between the clocks of callers and VMs, in milliseconds
 * @param creditReturnMs the delay after which idle credits of scarce endpoints are returned, in milliseconds: a shorter
 *     delay shortens the response time, a longer one saves messages
 */
public record DispatcherSettings(
        Member self,
        ZoneId zone,
        String placement,
        long seed,
        int maxQueuedTasks,
        long maxQueuedBytes,
        long maxKeptAnswerBytes,
        int maxKeys,
        long stopTimeoutMs,
        long maxClockSkewMs,
        long creditReturnMs) {

    /** Checks that no reference is null and that {@code creditReturnMs} is positive. */
    public DispatcherSettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(placement, "placement");
        if (creditReturnMs <= 0) {
            throw new IllegalArgumentException("creditReturnMs must be positive: " + creditReturnMs);
        }
    }

    /**
     * Creates a builder with the default settings.
     *
     * @param self this VM and its incarnation
     * @param zone the availability zone of this VM
     * @return the builder
     */
    public static Builder builder(Member self, ZoneId zone) {
        return new Builder(self, zone);
    }

    /** Builds settings, starting from the defaults. */
    public static final class Builder {

        private final Member self;
        private final ZoneId zone;
        private String placement = "credits";
        private long seed = 1;
        private int maxQueuedTasks = 100_000;
        private long maxQueuedBytes = 64L << 20;
        private long maxKeptAnswerBytes = 64L << 20;
        private int maxKeys = 200_000;
        private long stopTimeoutMs = 30_000;
        private long maxClockSkewMs = 5_000;
        private long creditReturnMs = 20;

        private Builder(Member self, ZoneId zone) {
            this.self = self;
            this.zone = zone;
        }

        /**
         * Sets the placement policy.
         *
         * @param value its name
         * @return this builder
         */
        public Builder placement(String value) {
            placement = value;
            return this;
        }

        /**
         * Sets the seed of the random number generator.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets the maximum number of waiting tasks.
         *
         * @param value the number of tasks
         * @return this builder
         */
        public Builder maxQueuedTasks(int value) {
            maxQueuedTasks = value;
            return this;
        }

        /**
         * Sets the maximum size of all waiting tasks.
         *
         * @param value the size in bytes
         * @return this builder
         */
        public Builder maxQueuedBytes(long value) {
            maxQueuedBytes = value;
            return this;
        }

        /**
         * Sets the maximum size of all kept answers.
         *
         * @param value the size in bytes
         * @return this builder
         */
        public Builder maxKeptAnswerBytes(long value) {
            maxKeptAnswerBytes = value;
            return this;
        }

        /**
         * Sets the maximum number of keys with records.
         *
         * @param value the number of keys
         * @return this builder
         */
        public Builder maxKeys(int value) {
            maxKeys = value;
            return this;
        }

        /**
         * Sets the time that a graceful stop waits for work in flight.
         *
         * @param value the time in milliseconds
         * @return this builder
         */
        public Builder stopTimeoutMs(long value) {
            stopTimeoutMs = value;
            return this;
        }

        /**
         * Sets the maximum difference between clocks.
         *
         * @param value the difference in milliseconds
         * @return this builder
         */
        public Builder maxClockSkewMs(long value) {
            maxClockSkewMs = value;
            return this;
        }

        /**
         * Sets the delay after which idle credits of scarce endpoints are returned.
         *
         * @param value the delay in milliseconds, positive
         * @return this builder
         */
        public Builder creditReturnMs(long value) {
            creditReturnMs = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public DispatcherSettings build() {
            return new DispatcherSettings(
                    self,
                    zone,
                    placement,
                    seed,
                    maxQueuedTasks,
                    maxQueuedBytes,
                    maxKeptAnswerBytes,
                    maxKeys,
                    stopTimeoutMs,
                    maxClockSkewMs,
                    creditReturnMs);
        }
    }
}
