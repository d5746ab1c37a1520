package org.gooseberrypier.load.pool;

import java.util.Map;

/**
 * Results of one load under one scheduling policy.
 *
 * <p>Only jobs whose callers wait for the answer are counted. Their full payoff is what they earn if each of them is
 * answered within its objective.
 *
 * @param jobs the number of jobs that are counted
 * @param earned the payoff earned, as a share of the full payoff
 * @param reference an upper bound on that share: what perfect knowledge of capacity and durations would earn at no cost
 * @param worstWindow the lowest share earned by the jobs that arrived in one window of two seconds
 * @param byQueue the share earned by each queue
 * @param refusedAtOnce the number of jobs refused within {@link PoolExperiment#IMMEDIATE_REFUSAL_MS} milliseconds of
 *     their arrival
 * @param refusedLate the number of jobs refused later
 * @param wastedStarts the number of starts beyond one for each task of each completed job
 * @param lost the payoff that was not earned, as shares of the full payoff, by the reason
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

    /** Reasons for lost payoff. */
    public enum Loss {
        /** The job was refused, on arrival or later. */
        REFUSED,
        /** A run of the job failed, was lost or was moved to another endpoint. */
        FAULT,
        /** The last task started too late to meet the objective on any endpoint. */
        WAITED,
        /** The last task started in time, but on an endpoint that took too long. */
        PLACED
    }

    /** Returns the payoff earned as a share of the upper bound, 1 if the bound is 0. */
    public double shareOfReference() {
        return reference == 0 ? 1 : earned / reference;
    }

    /** Returns the lowest share that a queue earned, 1 if there is no queue. */
    public double worstQueueShare() {
        return byQueue.values().stream().min(Double::compare).orElse(1.0);
    }
}
