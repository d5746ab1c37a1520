package org.gooseberrypier.load.run;

import org.gooseberrypier.load.cluster.LoopbackCluster;

/**
 * Something that goes wrong in a run.
 *
 * @param atFraction when, from 0 at the start of the run to 1 at the end of the arrivals
 * @param action what happens
 */
public record Fault(double atFraction, Action action) {

    /** What happens to a cluster. */
    @FunctionalInterface
    public interface Action {

        /**
         * Disturbs a cluster or mends it again.
         *
         * @param cluster the cluster
         */
        void apply(LoopbackCluster cluster);
    }
}
