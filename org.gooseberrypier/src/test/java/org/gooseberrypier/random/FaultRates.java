package org.gooseberrypier.random;

/**
 * The probabilities and the mean interval of the faults of a run.
 *
 * @param messageLoss probability that a peer message is lost
 * @param messageDuplicated probability that a peer message arrives twice
 * @param messageDelayed probability that a peer message is delayed by up to some seconds
 * @param appendAnswerLost probability that a record is appended and the answer is lost
 * @param appendLost probability that an append fails without effect
 * @param taskRefused probability that an endpoint refuses a task that has not started
 * @param taskFailed probability that a task runs and fails
 * @param taskAnswerLost probability that a task runs and its reply is lost
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
