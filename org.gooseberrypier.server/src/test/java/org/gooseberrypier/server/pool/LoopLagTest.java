package org.gooseberrypier.server.pool;

import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LoopLagTest {

    private static final long INTERVAL_MS = 100;
    /** The monotonic clock may have any origin. */
    private static final long ORIGIN_NANOS = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(1);

    private final LoopLag lag = new LoopLag(INTERVAL_MS, at(0));

    private static long at(long ms) {
        return ORIGIN_NANOS + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    public void onlyTheFirstRunAfterABlockageReportsIt() {
        LoopLag l = new LoopLag(INTERVAL_MS, at(0));
        assertEquals(l.onRun(at(100)), 0);
        assertEquals(l.onRun(at(230)), 0);
        assertFalse(l.isBlocked(at(430)));
        assertTrue(l.isBlocked(at(431)));
        assertEquals(l.onRun(at(1_230)), 900);
        assertTrue(l.isBlocked(at(1_231)), "messages that arrived meanwhile are not received yet");
        assertEquals(l.onRun(at(1_330)), 0);
        assertFalse(l.isBlocked(at(1_331)));
    }

    @Test
    public void loopThatIsAlwaysLateIsExemptOnlyOnce() {
        assertEquals(lag.onRun(at(500)), 400);
        assertEquals(lag.onRun(at(1_000)), 0);
        assertEquals(lag.onRun(at(1_500)), 0);
    }
}
