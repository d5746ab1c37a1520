package org.gooseberrypier.load.pool;

import java.util.List;

/**
 * A load pattern.
 *
 * @param name its name on the command line
 * @param loadFactor the factor on all arrival rates; 1 is the nominal load
 * @param burstQueue the queue whose arrival rate is higher in the middle third of the run, or an empty text for all
 *     queues
 * @param burstFactor the additional factor on that arrival rate, 1 for no burst
 * @param fault the fault of a fifth of the endpoints in the middle third of the run
 * @param disconnectShare the share of callers that disconnect after a third of their objective
 */
public record PoolLoad(
        String name, double loadFactor, String burstQueue, double burstFactor, Fault fault, double disconnectShare) {

    /** Faults of endpoints. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** The endpoints lose their runs and answer no calls. */
        CRASHED,
        /** Runs take three times as long. */
        SLOW,
        /** Every run fails after its start. */
        FAILING
    }

    /** The factor on arrival rates in a burst. */
    private static final double BURST_FACTOR = 3;

    /** All loads of the comparison. */
    public static final List<PoolLoad> ALL = List.of(
            steady("steady-1.0", 1),
            steady("steady-1.5", 1.5),
            steady("steady-2.0", 2),
            steady("steady-2.5", 2.5),
            new PoolLoad("burst-all", 1, "", BURST_FACTOR, Fault.NONE, 0),
            new PoolLoad("burst-small", 1, "narrow", BURST_FACTOR, Fault.NONE, 0),
            new PoolLoad("burst-large", 1, "long", BURST_FACTOR, Fault.NONE, 0),
            new PoolLoad("fifth-gone", 1, "", 1, Fault.CRASHED, 0),
            new PoolLoad("fifth-slow", 1, "", 1, Fault.SLOW, 0),
            new PoolLoad("fifth-failing", 1, "", 1, Fault.FAILING, 0),
            new PoolLoad("leaving-1.5", 1.5, "", 1, Fault.NONE, 0.2));

    private static PoolLoad steady(String name, double loadFactor) {
        return new PoolLoad(name, loadFactor, "", 1, Fault.NONE, 0);
    }

    /** Returns the factor on the arrival rate of a queue at a time of the run. */
    double loadFactorAt(String queue, long atMs, long lengthMs) {
        boolean affected = burstQueue.isEmpty() || burstQueue.equals(queue);
        return affected && isMiddleThird(atMs, lengthMs) ? loadFactor * burstFactor : loadFactor;
    }

    /** Returns whether a time is in the middle third of the run, in which bursts and faults happen. */
    static boolean isMiddleThird(long atMs, long lengthMs) {
        return atMs >= lengthMs / 3 && atMs < 2 * lengthMs / 3;
    }
}
