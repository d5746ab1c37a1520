package org.gooseberrypier.random;

import java.util.List;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Runs whole cores under seeded random faults and checks their guarantees.
 *
 * <p>{@code -Drandom.firstSeed=N -Drandom.seeds=M -Drandom.durationMs=D} select other runs than those of CI.
 */
public class RandomRunTest {

    private static final long FIRST_SEED = Long.getLong("random.firstSeed", 1);
    private static final int SEEDS = Integer.getInteger("random.seeds", 12);
    private static final long DURATION_MS = Long.getLong("random.durationMs", 60_000);

    @DataProvider
    public Object[][] zones() {
        return new Object[][] {{List.of(1)}, {List.of(3)}, {List.of(2, 1)}, {List.of(3, 2)}};
    }

    @Test(dataProvider = "zones")
    public void guaranteesHoldUnderFaults(List<Integer> vmsPerZone) {
        long steps = 0;
        int starts = 0;
        int complete = 0;
        int completeKeyed = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            RandomRun run = run(seed, vmsPerZone);
            steps += run.steps();
            starts += run.starts();
            complete += run.counts().complete();
            completeKeyed += run.counts().completeKeyed();
        }
        String line = "event=random_runs zones=" + vmsPerZone + " seeds=" + SEEDS + " steps=" + steps + " starts="
                + starts + " complete=" + complete + " complete_keyed=" + completeKeyed;
        Reporter.log(line, true);
        assertTrue(completeKeyed > 0 && complete > completeKeyed, line);
    }

    private static RandomRun run(long seed, List<Integer> vmsPerZone) {
        RandomRun run = new RandomRun(seed, vmsPerZone, FaultRates.FREQUENT, RandomRun.cores(seed));
        try {
            run.run(DURATION_MS);
        } catch (RuntimeException e) {
            throw new AssertionError("seed " + seed + " zones " + vmsPerZone + ": " + e.getMessage(), e);
        }
        return run;
    }
}
