package org.gooseberrypier.load.workload;

/**
 * Statistical properties of the jobs of a workload; shares are from 0 to 1.
 *
 * @param load the arriving work, as a share of the capacity
 * @param burstLoad the arriving work during the burst, as a share of the capacity; 0 for no burst
 * @param longShare the share of tasks that take several seconds
 * @param largeJob whether one job with the largest number of tasks arrives halfway through the run
 * @param keyedShare the share of jobs with an idempotency key
 * @param repeatableShare the share of jobs whose tasks may start more than once
 * @param duplicatedShare the share of jobs submitted to two VMs at the same time; these have idempotency keys
 * @param cancelledShare the share of jobs that are cancelled; these have idempotency keys
 * @param cancelWave whether jobs are cancelled in the middle third of the run only
 * @param declaredError the largest factor between declared and actual run times; 1 if declared times are exact
 * @param deadlineMs the deadline of each job, in milliseconds
 */
public record WorkloadShape(
        double load,
        double burstLoad,
        double longShare,
        boolean largeJob,
        double keyedShare,
        double repeatableShare,
        double duplicatedShare,
        double cancelledShare,
        boolean cancelWave,
        double declaredError,
        long deadlineMs) {

    private static final double BURST_BEGIN = 0.4;
    private static final double BURST_END = 0.6;
    private static final double CANCEL_WAVE_BEGIN = 1.0 / 3;
    private static final double CANCEL_WAVE_END = 2.0 / 3;

    /**
     * Creates a builder with the defaults.
     *
     * @param load the arriving work, as a share of the capacity
     * @return the builder
     */
    public static Builder builder(double load) {
        return new Builder(load);
    }

    /**
     * Returns the load at a time of the run.
     *
     * @param at the time, from 0 at the start of the run to 1 at its end
     * @return the arriving work, as a share of the capacity
     */
    public double loadAt(double at) {
        return burstLoad > 0 && at >= BURST_BEGIN && at < BURST_END ? burstLoad : load;
    }

    /**
     * Returns the share of cancelled jobs at a time of the run.
     *
     * @param at the time, from 0 at the start of the run to 1 at its end
     * @return the share
     */
    public double cancelledShareAt(double at) {
        return cancelWave && (at < CANCEL_WAVE_BEGIN || at >= CANCEL_WAVE_END) ? 0 : cancelledShare;
    }

    /** Builds a shape; properties that are not set keep their defaults. */
    public static final class Builder {

        private static final double DEFAULT_LONG_SHARE = 0.01;
        private static final long DEFAULT_DEADLINE_MS = 30_000;

        private final double load;
        private double burstLoad;
        private double longShare = DEFAULT_LONG_SHARE;
        private boolean largeJob = true;
        private double keyedShare;
        private double repeatableShare;
        private double duplicatedShare;
        private double cancelledShare;
        private boolean cancelWave;
        private double declaredError = 1;
        private long deadlineMs = DEFAULT_DEADLINE_MS;

        private Builder(double load) {
            if (!(load > 0)) {
                throw new IllegalArgumentException("load: " + load + " must be above 0");
            }
            this.load = load;
        }

        /**
         * Adds a burst in the middle fifth of the run.
         *
         * @param value its load, as a share of the capacity
         * @return this builder
         */
        public Builder burst(double value) {
            burstLoad = value;
            return this;
        }

        /**
         * Sets the share of tasks that take several seconds.
         *
         * @param value the share
         * @return this builder
         */
        public Builder longShare(double value) {
            longShare = value;
            return this;
        }

        /**
         * Sets whether one job with the largest number of tasks arrives halfway through the run.
         *
         * @param value whether it arrives
         * @return this builder
         */
        public Builder largeJob(boolean value) {
            largeJob = value;
            return this;
        }

        /**
         * Sets the share of jobs with an idempotency key.
         *
         * @param value the share
         * @return this builder
         */
        public Builder keyedShare(double value) {
            keyedShare = value;
            return this;
        }

        /**
         * Sets the share of jobs whose tasks may start more than once.
         *
         * @param value the share
         * @return this builder
         */
        public Builder repeatableShare(double value) {
            repeatableShare = value;
            return this;
        }

        /**
         * Sets the share of jobs submitted to two VMs at the same time.
         *
         * @param value the share
         * @return this builder
         */
        public Builder duplicatedShare(double value) {
            duplicatedShare = value;
            return this;
        }

        /**
         * Sets the share of jobs that are cancelled over the whole run.
         *
         * @param value the share
         * @return this builder
         */
        public Builder cancelledShare(double value) {
            cancelledShare = value;
            return this;
        }

        /**
         * Sets the share of jobs that are cancelled in the middle third of the run.
         *
         * @param value the share
         * @return this builder
         */
        public Builder cancelWave(double value) {
            cancelledShare = value;
            cancelWave = true;
            return this;
        }

        /**
         * Sets the largest factor between declared and actual run times.
         *
         * @param value the factor, 1 if declared times are exact
         * @return this builder
         */
        public Builder declaredError(double value) {
            declaredError = value;
            return this;
        }

        /**
         * Sets the deadline of each job.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder deadlineMs(long value) {
            deadlineMs = value;
            return this;
        }

        /**
         * Builds the shape.
         *
         * @return the shape
         */
        public WorkloadShape build() {
            return new WorkloadShape(
                    load,
                    burstLoad,
                    longShare,
                    largeJob,
                    keyedShare,
                    repeatableShare,
                    duplicatedShare,
                    cancelledShare,
                    cancelWave,
                    declaredError,
                    deadlineMs);
        }
    }
}
