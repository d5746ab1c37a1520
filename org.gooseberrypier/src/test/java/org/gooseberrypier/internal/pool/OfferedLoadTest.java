package org.gooseberrypier.internal.pool;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OfferedLoadTest {

    private static final double DELTA = 1e-6;

    @Test
    public void ratesDecay() {
        OfferedLoad offered = new OfferedLoad();
        offered.observe("queue", 2_000_000, 0);
        assertEquals(offered.queueRate("queue", 0), 1_000, DELTA);
        assertEquals(offered.queueRate("queue", 2_000), 1_000 / Math.E, DELTA);
        assertEquals(offered.rate(2_000), 1_000 / Math.E, DELTA);
    }

    @Test
    public void smallerJobsOfTheSameQueueCountAsAhead() {
        OfferedLoad offered = new OfferedLoad();
        offered.observe("queue", 1_000_000, 0);
        offered.observe("queue", 4_000_000, 0);
        assertEquals(offered.rateAhead("queue", 4_000_000, 0), 500, DELTA);
        assertEquals(offered.rateAhead("queue", 1_000_000, 0), 0, DELTA);
    }

    @Test
    public void removedQueuesAreEvicted() {
        OfferedLoad offered = new OfferedLoad();
        for (int i = 0; i < 5_000; i++) {
            offered.observe("queue-" + i, 2_000_000, 20L * i);
            offered.observe("lasting", 2_000_000, 20L * i);
        }
        assertTrue(offered.queueCount() <= 1_500, "" + offered.queueCount());
        assertTrue(offered.queueRate("lasting", 100_000) > 0);
    }
}
