package org.gooseberrypier.random;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

public class RandomRunDeterminismTest {

    private static final long DURATION_MS = 20_000;

    @Test
    public void sameSeedGivesTheSameRun() {
        assertEquals(fingerprint(7), fingerprint(7));
        assertNotEquals(fingerprint(7), fingerprint(8));
    }

    private static String fingerprint(long seed) {
        RandomRun run = new RandomRun(seed, List.of(3, 2), FaultRates.FREQUENT, RandomRun.cores(seed));
        run.runFaults(DURATION_MS);
        return run.steps() + " " + run.starts() + " " + run.counts();
    }
}
