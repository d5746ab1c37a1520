package org.gooseberrypier.random;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that graceful stops and tickets interrupt no request while nothing else fails. */
public class PlannedChangesTest {

    private static final int SEEDS = 8;
    private static final long DURATION_MS = 90_000;

    @DataProvider
    public Object[][] zones() {
        return new Object[][] {{List.of(3)}, {List.of(3, 2)}};
    }

    @Test(dataProvider = "zones")
    public void plannedStopsAndTicketsInterruptNoRequest(List<Integer> vmsPerZone) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RandomRun run = new RandomRun(seed, vmsPerZone, FaultRates.NONE, Fault.planned(), RandomRun.cores(seed));
            run.setOneStopAtATime();
            run.run(DURATION_MS);
            String line = "seed " + seed + ": " + run.counts();
            assertEquals(run.counts().failed(), 0, line);
            assertEquals(run.counts().unknown(), 0, line);
            assertEquals(run.unanswered(), 0, line);
            assertTrue(run.counts().completeKeyed() > 0, line);
        }
    }
}
