package org.gooseberrypier.pool.model;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Explores the model: at any time at most one run of a task is at work, whatever the owners, the link, the caller or the answers
 * did. By hand, {@code -Dmodel.faults=3} explores more faults at a time than the build does, {@code -Dmodel.all=true} all kinds of
 * them together.
 */
public class PoolModelTest {

    /** The caller reaches its deadline soon after the new owner has taken over. */
    private static final int EARLY = 10;

    /** The caller reaches its deadline after the last step. */
    private static final int LATE = 60;

    private static final int STEPS = 36;

    /** Enough for a cut that begins at once, a handover, the wait of the next owner and the first lease. */
    private static final int CUT_STEPS = 30;

    /** Enough for a caller that leaves at once, its next submission and the last lease. */
    private static final int SHORT_STEPS = 20;

    /** Faults for which the rules are made; a caller that leaves unseen before its deadline is not among them. */
    private static final Set<Fault> FAULTS = EnumSet.complementOf(EnumSet.of(Fault.LEFT_UNSEEN));

    private static final Set<Fault> LINK_FAULTS =
            EnumSet.of(Fault.STREAM_LOST, Fault.STALL_TO_OWNER, Fault.STALL_TO_ENTRY, Fault.CORE_LATE);

    private static Scenario scenario(Rules rules, Set<Fault> faults, int maxFaults, Side side, int deadline) {
        return new Scenario(
                rules, faults, maxFaults, side == Side.OLD, side == Side.OLD ? 2 : 1, deadline, 0, 0, 0, false, STEPS);
    }

    private static Scenario readLate(Scenario s, int steps) {
        return new Scenario(
                s.rules(),
                s.faults(),
                s.maxFaults(),
                s.entryWithOldOwner(),
                s.secondOwner(),
                s.deadlineStep(),
                steps,
                s.firstRoomStep(),
                EARLY,
                s.heals(),
                s.steps());
    }

    private static Scenario anyCut(Scenario s) {
        return new Scenario(
                s.rules(),
                s.faults(),
                s.maxFaults(),
                s.entryWithOldOwner(),
                s.secondOwner(),
                s.deadlineStep(),
                s.lateReadSteps(),
                s.firstRoomStep(),
                2,
                true,
                CUT_STEPS);
    }

    /** Side of the cut on which the entry VM of the first submission is. */
    private enum Side {
        OLD,
        NEW
    }

    @DataProvider
    private Object[][] sides() {
        return new Object[][] {{Side.OLD, EARLY}, {Side.OLD, LATE}, {Side.NEW, EARLY}, {Side.NEW, LATE}};
    }

    private static void assertHolds(Scenario s) {
        Explorer.Result result = Explorer.explore(s);
        assertEquals(result.trace(), List.of());
        Reporter.log(s + " states=" + result.states(), Boolean.getBoolean("model.print"));
        assertTrue(result.states() > 100, "states " + result.states());
    }

    private static void assertBreaks(Scenario s) {
        assertFalse(Explorer.explore(s).trace().isEmpty(), s.toString());
    }

    @Test(dataProvider = "sides")
    public void thePresentRulesHoldInCutsOfAnyTime(Side side, int deadline) {
        assertHolds(anyCut(scenario(Rules.WITHDRAWALS, Set.of(), 0, side, deadline)));
    }

    @Test(dataProvider = "sides")
    public void theBoundedRulesHoldInCutsOfAnyTimeWithOneFault(Side side, int deadline) {
        assertHolds(anyCut(scenario(Rules.BOUNDED, FAULTS, 1, side, deadline)));
    }

    @Test(dataProvider = "sides")
    public void theBoundedRulesHoldForSeveralFaultsOfTheLink(Side side, int deadline) {
        Set<Fault> faults = Boolean.getBoolean("model.all") ? FAULTS : LINK_FAULTS;
        assertHolds(scenario(Rules.BOUNDED, faults, Integer.getInteger("model.faults", 2), side, deadline));
    }

    @DataProvider
    private Object[][] gaps() {
        return new Object[][] {
            {EARLY, EnumSet.of(Fault.TICKS_SKIPPED), 1},
            {LATE, EnumSet.of(Fault.STREAM_LOST, Fault.STALL_TO_OWNER), 2},
            {LATE, EnumSet.of(Fault.STALL_TO_ENTRY), 2},
            {LATE, EnumSet.of(Fault.STREAM_LOST, Fault.CORE_LATE), 2},
            {LATE, EnumSet.of(Fault.OWNER_FROZEN), 2}
        };
    }

    /** The model is fine enough to show the gaps of the rules without a bound, of which CrossingMessagesTest has the events. */
    @Test(dataProvider = "gaps")
    public void thePresentRulesHaveTheKnownGaps(int deadline, Set<Fault> faults, int maxFaults) {
        assertBreaks(scenario(Rules.WITHDRAWALS, faults, maxFaults, Side.OLD, deadline));
        assertBreaks(scenario(Rules.WITHDRAWALS, faults, maxFaults, Side.NEW, deadline));
    }

    /** Without these rules a job whose caller has left early is awaited until its deadline. */
    @Test
    public void theBoundAloneIsNotEnough() {
        Set<Fault> crossing = EnumSet.of(Fault.STREAM_LOST, Fault.STALL_TO_OWNER);
        Set<Fault> nextStream = EnumSet.of(Fault.STREAM_LOST, Fault.CORE_LATE);
        assertBreaks(scenario(new Rules("", true, true, false, true, true), crossing, 2, Side.NEW, LATE));
        assertBreaks(scenario(new Rules("", true, true, true, false, true), nextStream, 2, Side.NEW, LATE));
    }

    /** A forward that is received late counts as awaited too long if its withdrawal is lost and its run can't be stopped. */
    @Test
    public void theReceiptOfAForwardDoesNotShowThatItIsAwaited() {
        Set<Fault> faults = EnumSet.of(Fault.STREAM_LOST, Fault.STALL_TO_OWNER, Fault.STOP_LOST);
        Rules receipt = new Rules("", true, true, true, true, false);
        assertBreaks(new Scenario(receipt, faults, 3, true, 2, LATE, 0, 0, 0, false, SHORT_STEPS));
        assertHolds(new Scenario(Rules.BOUNDED, faults, 3, true, 2, LATE, 0, 0, 0, false, SHORT_STEPS));
    }

    /** The entry VM counts the deadline from its reading of the request; the rules without a bound leave it less than 0.2 s. */
    @Test
    public void aRequestMayBeReadLateByLessThanTheResubmissionDelay() {
        Set<Fault> faults = EnumSet.of(Fault.STOP_LOST);
        assertBreaks(readLate(scenario(Rules.WITHDRAWALS, faults, 1, Side.OLD, EARLY), 2));
        Scenario bounded = scenario(Rules.BOUNDED, faults, 1, Side.OLD, EARLY);
        assertHolds(readLate(bounded, Scenario.RESUBMISSION_STEPS - 1));
        assertBreaks(readLate(bounded, Scenario.RESUBMISSION_STEPS));
    }

    /** A premise and no rule: only its deadline ends the job of a caller that nobody sees leave. */
    @Test
    public void aCallerThatLeavesUnseenBeforeItsDeadlineMayCauseASecondRun() {
        assertBreaks(scenario(Rules.BOUNDED, EnumSet.of(Fault.LEFT_UNSEEN), 1, Side.NEW, LATE));
    }
}
