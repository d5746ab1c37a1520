package org.gooseberrypier.load.pool;

import java.util.Map;

/**
 * What a load earned under rules.
 *
 * @param jobs how many jobs were owed an answer
 * @param earned the payoff earned, as a share of what was owed
 * @param reference the same for one that knows every place and duration at no cost: no dispatcher can earn more
 * @param worstWindow the least share earned by the jobs that arrived within two seconds
 * @param byQueue the share earned by each queue
 * @param refusedAtOnce jobs refused within {@link PoolExperiment#IMMEDIATE_REFUSAL_MS} of their arrival
 * @param refusedLate jobs refused later
 * @param wastedStarts starts whose runs did not end well
 * @param lost what the jobs that were not answered in time owed, as shares of what was owed, by the reason
 */
public record ExperimentResult(
        int jobs,
        double earned,
        double reference,
        double worstWindow,
        Map<String, Double> byQueue,
        int refusedAtOnce,
        int refusedLate,
        int wastedStarts,
        Map<Loss, Double> lost) {

    /** Why payoff was lost. */
    public enum Loss {
        /** The job was refused, at once or later. */
        REFUSED,
        /** A run of it failed, was lost or was moved. */
        FAULT,
        /** Its last task started too late to be on time on any endpoint. */
        WAITED,
        /** It started in time, but where it took too long. */
        PLACED
    }

    /** Returns the share of the reference's payoff that was earned. */
    public double shareOfReference() {
        return reference == 0 ? 1 : earned / reference;
    }

    /** Returns the least share that a queue earned. */
    public double worstQueueShare() {
        return byQueue.values().stream().min(Double::compare).orElse(1.0);
    }
}
