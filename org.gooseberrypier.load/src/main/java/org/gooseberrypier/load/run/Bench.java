package org.gooseberrypier.load.run;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;

import org.gooseberrypier.load.cluster.ClusterPlan;

/** Compares placement policies: in each round, every policy runs once with the same arrivals. */
public final class Bench {

    private static final int SLOTS = 8;

    private final List<String> policies;
    private final List<String> zones;
    private final int vms;
    private final int endpoints;
    private final int rounds;
    private final double seconds;
    private final long seed;
    private final Progress progress;

    private Bench(Builder builder) {
        policies = List.copyOf(builder.policies);
        zones = List.copyOf(builder.zones);
        vms = builder.vms;
        endpoints = builder.endpoints;
        rounds = builder.rounds;
        seconds = builder.seconds;
        seed = builder.seed;
        progress = builder.progress;
    }

    /**
     * Creates a builder.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Runs a scenario with every policy, in all rounds.
     *
     * @param scenario the scenario
     * @return a report for each policy, in the order of the policies
     * @throws TimeoutException if a ticket does not come into force or tasks still run after the last answer
     * @throws InterruptedException if the thread is interrupted
     */
    public Map<String, RunReport> call(Scenario scenario) throws TimeoutException, InterruptedException {
        Map<String, RunReport> reports = new LinkedHashMap<>();
        policies.forEach(p -> reports.put(p, new RunReport()));
        for (int round = 0; round < rounds; round++) {
            for (String policy : policies) {
                progress.printLine(
                        "scenario=" + scenario.name() + " policy=" + policy + " round=" + (round + 1) + "/" + rounds);
                ClusterPlan plan = ClusterPlan.spread(zones, vms, endpoints, SLOTS, scenario.unequal(), policy);
                new ScenarioRun(scenario, plan, seconds, seed + round, progress).call(reports.get(policy));
            }
        }
        return reports;
    }

    /** Builds a comparison. */
    public static final class Builder {

        private static final int DEFAULT_VMS = 7;
        private static final int DEFAULT_ENDPOINTS = 30;
        private static final double DEFAULT_SECONDS = 20;

        private List<String> policies = List.of("credits");
        private List<String> zones = ClusterPlan.DEFAULT_ZONES;
        private int vms = DEFAULT_VMS;
        private int endpoints = DEFAULT_ENDPOINTS;
        private int rounds = 1;
        private double seconds = DEFAULT_SECONDS;
        private long seed = 1;
        private Progress progress = Progress.none();

        private Builder() {}

        /**
         * Sets the placement policies.
         *
         * @param value their names
         * @return this builder
         */
        public Builder policies(List<String> value) {
            policies = value;
            return this;
        }

        /**
         * Sets the availability zones.
         *
         * @param value their names
         * @return this builder
         */
        public Builder zones(List<String> value) {
            zones = value;
            return this;
        }

        /**
         * Sets the number of entry VMs.
         *
         * @param value the number of VMs
         * @return this builder
         */
        public Builder vms(int value) {
            vms = value;
            return this;
        }

        /**
         * Sets the number of endpoints.
         *
         * @param value the number of endpoints
         * @return this builder
         */
        public Builder endpoints(int value) {
            endpoints = value;
            return this;
        }

        /**
         * Sets the number of rounds.
         *
         * @param value the number of rounds
         * @return this builder
         */
        public Builder rounds(int value) {
            rounds = value;
            return this;
        }

        /**
         * Sets the time in which jobs arrive in each run.
         *
         * @param value seconds
         * @return this builder
         */
        public Builder seconds(double value) {
            seconds = value;
            return this;
        }

        /**
         * Sets the seed of the arrivals; each further round adds 1 to it.
         *
         * @param value the seed of the first round
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets the progress display.
         *
         * @param value the display
         * @return this builder
         */
        public Builder progress(Progress value) {
            progress = value;
            return this;
        }

        /**
         * Builds the comparison.
         *
         * @return the comparison
         */
        public Bench build() {
            return new Bench(this);
        }
    }
}
