package org.gooseberrypier.pool.model;

import java.util.Set;

/**
 * What is fixed in an exploration. A step is 100 ms.
 *
 * @param rules the rules of owners and entry VMs
 * @param faults the kinds of faults that may happen
 * @param maxFaults how many faults happen at most, besides one cut and the leaving of the caller
 * @param entryWithOldOwner whether the entry VM is on the old owner's side of the cut
 * @param secondOwner the owner, 1 or 2, that gets the second submission
 * @param deadlineStep when the caller's deadline is
 * @param lateReadSteps by how much later the entry VM takes the deadline to be
 * @param firstRoomStep when the old owner has room for the job
 * @param lastCutStep the last step at which the cut may begin
 * @param heals whether the cut may end within these steps
 * @param steps the number of steps
 */
record Scenario(
        Rules rules,
        Set<Fault> faults,
        int maxFaults,
        boolean entryWithOldOwner,
        int secondOwner,
        int deadlineStep,
        int lateReadSteps,
        int firstRoomStep,
        int lastCutStep,
        boolean heals,
        int steps) {

    /** Time from the end of a call to the next submission of its caller, in steps. */
    static final int RESUBMISSION_STEPS = 13;
}
