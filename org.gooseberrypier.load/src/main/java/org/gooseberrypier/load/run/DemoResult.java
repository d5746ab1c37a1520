package org.gooseberrypier.load.run;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Results of the demonstration.
 *
 * @param report the jobs and their checks
 * @param ticketInForceMs the time until the first ticket was in force on every VM, in milliseconds
 * @param raceInForceMs the time until one of the two conflicting tickets was in force on every VM, in milliseconds
 * @param raceWinners the number of distinct tickets in force on the VMs after that, 1 if all VMs agree
 * @param replacementInForceMs the time until the ticket that lists the new VM was in force, in milliseconds
 * @param stoppedGracefully whether the retired VM stopped by itself within the timeout
 * @param startsOnLeaving the number of starts on the leaving endpoint after its grace time
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
     * Returns for each guarantee whether it held.
     *
     * @return the guarantees in a fixed order
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
     * Returns whether every guarantee held.
     *
     * @return whether all of them held
     */
    public boolean holds() {
        return !guarantees().containsValue(false);
    }
}
