package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Replays a VM whose event loop is blocked for 600 ms while it starts, as by the first use of many classes beside busy
 * processes. Owner and store answer in time, but their messages wait unread. Taking the zone over fences the live owner.
 */
public class LoopBlockedTest {

    private static final VmIncarnation SELF = new VmIncarnation("10.0.0.1:1", "zone-a", 1, 1_000);
    private static final VmIncarnation OWNER = new VmIncarnation("10.0.0.2:1", "zone-b", 2, 1_000);
    private static final long BLOCKED_FROM_MS = 10_000;
    private static final long BLOCKED_MS = 600;
    private static final int TICK_INTERVAL_MS = 40;

    private final List<PoolEffect> effects = new ArrayList<>();

    private PoolCore follower() {
        PoolCore core = new PoolCore(SELF, 3, BLOCKED_FROM_MS, effects::add);
        Ownership owner = new Ownership(0, OWNER);
        core.handle(new PoolEvent.OwnershipRead(1, Optional.of(owner), BLOCKED_FROM_MS), BLOCKED_FROM_MS);
        return core;
    }

    private static void tick(PoolCore core, long fromMs, long toMs) {
        for (long t = fromMs; t < toMs; t += TICK_INTERVAL_MS) {
            core.handle(new PoolEvent.Tick(), t);
        }
    }

    @Test
    public void timeInWhichNothingWasReceivedIsNoSilenceOfTheStore() {
        PoolCore core = follower();
        long endMs = BLOCKED_FROM_MS + BLOCKED_MS;
        core.handle(new PoolEvent.LoopBlocked(BLOCKED_MS), endMs);
        tick(core, endMs, endMs + 500);
        assertFalse(core.isOwner(), "the zone was taken over from a live owner");
    }

    @Test
    public void silenceAfterTheBlockageStillLeadsToTheZoneOwner() {
        PoolCore core = follower();
        long endMs = BLOCKED_FROM_MS + BLOCKED_MS;
        core.handle(new PoolEvent.LoopBlocked(BLOCKED_MS), endMs);
        tick(core, endMs, endMs + 1_200);
        assertTrue(core.isOwner(), "the zone has no owner although the store is silent");
    }

    @Test
    public void withoutABlockageTheZoneIsTakenOverAfterTheSameTime() {
        PoolCore core = follower();
        tick(core, BLOCKED_FROM_MS, BLOCKED_FROM_MS + BLOCKED_MS + 500);
        assertTrue(core.isOwner());
    }
}
