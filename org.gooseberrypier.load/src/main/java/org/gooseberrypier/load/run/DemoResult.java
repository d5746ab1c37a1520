package org.gooseberrypier.load.run;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What came out of the demonstration.
 *
 * @param report the jobs and their checks
 * @param ticketInForceMs how long the first ticket took to be in force on every VM, in milliseconds
 * @param raceInForceMs how long the race of two operators took to be decided on every VM, in milliseconds
 * @param raceWinners how many of the two tickets some VM took for the winner
 * @param replacementInForceMs how long the ticket that names the new VM took, in milliseconds
 * @param stoppedGracefully whether the retired VM ended by itself in time
 * @param startsOnLeaving starts on the leaving endpoint, from the end of its grace time on
 */
public record DemoResult(
        RunReport report,
        long ticketInForceMs,
        long raceInForceMs,
        long raceWinners,
        long replacementInForceMs,
        boolean stoppedGracefully,
        long startsOnLeaving) {

    /**
     * Tells for each promise whether it held.
     *
     * @return the promises in a fixed order
     */
    public Map<String, Boolean> guarantees() {
        Map<String, Boolean> held = new LinkedHashMap<>();
        held.put("each task started at most once", report.guarantees().startedTwice() == 0);
        held.put("each answer is complete or failed", report.guarantees().partialAnswers() == 0);
        held.put("each caller got its own answer", report.guarantees().wrongCaller() == 0);
        held.put("what was not run did not run", report.guarantees().notRunButRan() == 0);
        held.put("one ticket won the race on every VM", raceWinners == 1);
        held.put("the retired VM stopped gracefully", stoppedGracefully);
        held.put("the leaving endpoint got no new work", startsOnLeaving == 0);
        return held;
    }

    /**
     * Tells whether every promise held.
     *
     * @return whether all of them held
     */
    public boolean holds() {
        return !guarantees().containsValue(false);
    }
}
