package org.gooseberrypier.load.pool;

import java.util.List;

/**
 * A load pattern.
 *
 * @param name its name on the command line
 * @param loadFactor the whole load against the usual one
 * @param burstQueue the queue whose jobs come {@code burst} times as often in the middle third, or an empty text for all
 * @param burstFactor how many times as often, 1 for no burst
 * @param fault what a fifth of the endpoints does in the middle third
 * @param disconnectShare the share of callers that leave after a third of their objective
 */
public record PoolLoad(
        String name, double loadFactor, String burstQueue, double burstFactor, Fault fault, double disconnectShare) {

    /** What happens to endpoints. */
    public enum Fault {
        /** Nothing. */
        NONE,
        /** They answer nothing and run nothing. */
        CRASHED,
        /** They take three times as long. */
        SLOW,
        /** They fail all that they start. */
        FAILING
    }

    /** How many times as often jobs come in a burst. */
    private static final double USUAL_BURST = 3;

    /** All loads of the comparison. */
    public static final List<PoolLoad> ALL = List.of(
            steady("steady-1.0", 1),
            steady("steady-1.5", 1.5),
            steady("steady-2.0", 2),
            steady("steady-2.5", 2.5),
            new PoolLoad("burst-all", 1, "", USUAL_BURST, Fault.NONE, 0),
            new PoolLoad("burst-small", 1, "narrow", USUAL_BURST, Fault.NONE, 0),
            new PoolLoad("burst-large", 1, "long", USUAL_BURST, Fault.NONE, 0),
            new PoolLoad("fifth-gone", 1, "", 1, Fault.CRASHED, 0),
            new PoolLoad("fifth-slow", 1, "", 1, Fault.SLOW, 0),
            new PoolLoad("fifth-failing", 1, "", 1, Fault.FAILING, 0),
            new PoolLoad("leaving-1.5", 1.5, "", 1, Fault.NONE, 0.2));

    private static PoolLoad steady(String name, double factor) {
        return new PoolLoad(name, factor, "", 1, Fault.NONE, 0);
    }

    /** Returns how much more often jobs of a queue come now than usually. */
    double loadFactorAt(String queue, long atMs, long lengthMs) {
        boolean affected = burstQueue.isEmpty() || burstQueue.equals(queue);
        return affected && isMiddleThird(atMs, lengthMs) ? loadFactor * burstFactor : loadFactor;
    }

    /** Returns whether a time lies in the middle third, when bursts and faults happen. */
    static boolean isMiddleThird(long atMs, long lengthMs) {
        return atMs >= lengthMs / 3 && atMs < 2 * lengthMs / 3;
    }
}
