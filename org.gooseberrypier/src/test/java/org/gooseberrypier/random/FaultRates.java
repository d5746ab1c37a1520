package org.gooseberrypier.random;

/**
 * How often each fault happens in a run.
 *
 * @param messageLoss probability that a peer message is lost
 * @param messageDuplicated probability that a peer message arrives twice
 * @param messageDelayed probability that a peer message is late by up to some seconds
 * @param appendAnswerLost probability that an append takes effect and its answer is lost
 * @param appendLost probability that an append fails and takes no effect
 * @param taskRefused probability that an endpoint refuses a task that has not started
 * @param taskFailed probability that a task runs and fails
 * @param taskAnswerLost probability that a task runs and its answer is lost
 * @param meanFaultIntervalMs mean time between kills, pauses, cuts and outages, in milliseconds
 */
record FaultRates(
        double messageLoss,
        double messageDuplicated,
        double messageDelayed,
        double appendAnswerLost,
        double appendLost,
        double taskRefused,
        double taskFailed,
        double taskAnswerLost,
        long meanFaultIntervalMs) {

    static final FaultRates NONE = new FaultRates(0, 0, 0, 0, 0, 0, 0, 0, 6_000);

    static final FaultRates FREQUENT = new FaultRates(0.02, 0.02, 0.05, 0.1, 0.1, 0.05, 0.02, 0.02, 3_000);
}
