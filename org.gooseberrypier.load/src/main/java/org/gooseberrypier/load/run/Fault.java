package org.gooseberrypier.load.run;

import org.gooseberrypier.load.cluster.LoopbackCluster;

/**
 * A fault that is injected into a cluster during a run, or its repair.
 *
 * @param atFraction the time, from 0 at the start of the run to 1 at the end of the arrivals
 * @param action injects or repairs the fault
 */
public record Fault(double atFraction, Action action) {

    /** An action on a cluster. */
    @FunctionalInterface
    public interface Action {

        /**
         * Injects or repairs the fault.
         *
         * @param cluster the cluster
         */
        void apply(LoopbackCluster cluster);
    }
}
