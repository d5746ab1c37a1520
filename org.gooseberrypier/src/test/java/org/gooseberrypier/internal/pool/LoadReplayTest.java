package org.gooseberrypier.internal.pool;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** What the placement rules gain on the loads that they answer. */
public class LoadReplayTest {

    private static final long PLAYED_MS = 20_000;
    private static final int ENDPOINTS = 33;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void leastWorkFirstEarnsMoreThanFirstComeUnderTwiceTheLoad(long seed) {
        double first = new LoadReplay(JobOrder.FIRST_COME, seed, ENDPOINTS).play(2, PLAYED_MS, true);
        double least = new LoadReplay(JobOrder.LEAST_WORK, seed, ENDPOINTS).play(2, PLAYED_MS, true);
        System.out.printf("load=2.0 seed=%d first_come=%.3f least_work=%.3f%n", seed, first, least);
        assertTrue(least > first, first + " against " + least);
    }

    @Test(dataProvider = "seeds")
    public void lessDemandingQueuesFirstEarnsMoreThanLeastWorkUnderTwiceTheLoad(long seed) {
        double least = new LoadReplay(JobOrder.LEAST_WORK, seed, ENDPOINTS).play(2, PLAYED_MS, true);
        double share = new LoadReplay(JobOrder.LEAST_DEMANDING_QUEUE, seed, ENDPOINTS).play(2, PLAYED_MS, true);
        System.out.printf("load=2.0 seed=%d least_work=%.3f least_demanding_queue=%.3f%n", seed, least, share);
        assertTrue(share > least, least + " against " + share);
    }

    @Test(dataProvider = "seeds")
    public void theUsualLoadIsServed(long seed) {
        double share = new LoadReplay(JobOrder.LEAST_DEMANDING_QUEUE, seed, ENDPOINTS).play(1, PLAYED_MS, true);
        System.out.printf("load=1.0 seed=%d share=%.3f%n", seed, share);
        assertTrue(share > 0.9, "share " + share);
    }

    @Test(dataProvider = "seeds")
    public void whatCanNotBeServedIsRefusedAtOnceAndCostsNothing(long seed) {
        LoadReplay waits = new LoadReplay(JobOrder.LEAST_DEMANDING_QUEUE, seed, ENDPOINTS);
        LoadReplay refuses = new LoadReplay(JobOrder.LEAST_DEMANDING_QUEUE, seed, ENDPOINTS);
        double without = waits.play(2.5, PLAYED_MS, false);
        double with = refuses.play(2.5, PLAYED_MS, true);
        System.out.printf(
                "load=2.5 seed=%d late_refusals=%d to %d earned=%.3f to %.3f%n",
                seed, waits.refusedLater(), refuses.refusedLater(), without, with);
        assertTrue(2 * refuses.refusedLater() < waits.refusedLater(), refuses.refusedLater() + " refused late");
        assertTrue(with > without - 0.03, with + " against " + without);
    }
}
