package org.gooseberrypier.http;

import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class LoopStallsTest {

    /** The monotonic clock may have any origin. */
    private static final long ORIGIN_NANOS = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(1);

    private static long at(long ms) {
        return ORIGIN_NANOS + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static LoopStalls runningUntil(long ms) {
        LoopStalls s = new LoopStalls(at(0));
        for (long t = LoopStalls.INTERVAL_MS; t <= ms; t += LoopStalls.INTERVAL_MS) {
            s.onRun(at(t));
        }
        return s;
    }

    @Test
    public void bytesArriveAsALoopReadsThemThatRuns() {
        LoopStalls s = runningUntil(1_000);
        assertEquals(s.earliestArrivalNanos(at(1_000)), at(1_000));
        assertEquals(s.earliestArrivalNanos(at(1_030)), at(1_030));
    }

    @Test
    public void bytesThatAreReadBeforeALateRunMayHaveArrivedSinceTheRunBefore() {
        LoopStalls s = runningUntil(1_000);
        assertEquals(s.earliestArrivalNanos(at(1_031)), at(1_000));
        assertEquals(s.earliestArrivalNanos(at(3_000)), at(1_000));
    }

    @Test
    public void bytesThatAreReadSoonAfterABlockageMayHaveArrivedAtItsBeginning() {
        LoopStalls s = runningUntil(1_000);
        s.onRun(at(3_000));
        assertEquals(s.earliestArrivalNanos(at(3_001)), at(1_000));
        s.onRun(at(3_020));
        s.onRun(at(3_100));
        assertEquals(s.earliestArrivalNanos(at(3_100)), at(1_000));
        assertEquals(s.earliestArrivalNanos(at(3_101)), at(3_020), "the second blockage");
    }

    /** A VM that often lacks processor time must not take its requests for older and older. */
    @Test
    public void blockagesThatFollowEachOtherDoNotAddUp() {
        LoopStalls s = runningUntil(1_000);
        for (long t = 1_050; t <= 60_000; t += 50) {
            s.onRun(at(t));
        }
        assertEquals(s.earliestArrivalNanos(at(60_000)), at(59_850));
    }
}
