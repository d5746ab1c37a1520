package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.VmIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against starts by an owner that resumes after a freeze, for VMs that have gone to the next owner meanwhile. */
public class LinkedVmsTest {

    private static final VmIncarnation SELF = new VmIncarnation("10.0.0.1:1", "z", 1, 1_000);
    private static final VmIncarnation ENTRY = new VmIncarnation("10.0.0.2:1", "z", 2, 1_000);
    private static final VmIncarnation EARLIER_VERSION = new VmIncarnation("10.0.0.3:1", "z", 3, 1_000);

    private static final long LINK = 7;

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolBoard board;
    private LinkedVms vms;

    @BeforeMethod
    public void begin() {
        effects.clear();
        board = new PoolBoard(SELF, effects::add);
        board.role = OwnerRole.OWNER;
        board.now = 1_000;
        vms = new LinkedVms(board);
        vms.onUp(ENTRY, LINK, true);
        vms.onUp(EARLIER_VERSION, LINK, false);
    }

    @Test
    public void tasksStartOnlyForAVmThatHasAcknowledgedAHeartbeat() {
        assertFalse(vms.mayStartFor(ENTRY, LINK));
        vms.onAcknowledged(ENTRY, 990);
        assertTrue(vms.mayStartFor(ENTRY, LINK));
        assertTrue(vms.mayStartFor(SELF, 0));
        assertTrue(vms.mayStartFor(EARLIER_VERSION, LINK));
    }

    @Test
    public void acknowledgementExpiresByTheTimeWhenItsHeartbeatWasSent() {
        vms.onAcknowledged(ENTRY, 900);
        board.now = 1_300;
        assertTrue(vms.mayStartFor(ENTRY, LINK));
        board.now = 1_301;
        assertFalse(vms.mayStartFor(ENTRY, LINK));
    }

    @Test
    public void acknowledgementOfAHeartbeatSentBeforeAPauseDoesNotCount() {
        vms.onAcknowledged(ENTRY, 990);
        // The steady clock has not counted the pause.
        assertEquals(List.copyOf(vms.onPause(board.now)), List.of(ENTRY));
        assertFalse(vms.onAcknowledged(ENTRY, 999));
        assertFalse(vms.mayStartFor(ENTRY, LINK));
        assertTrue(vms.onAcknowledged(ENTRY, 1_000));
        assertTrue(vms.mayStartFor(ENTRY, LINK));
    }

    @Test
    public void jobsOfOwnCallersStartAfterAPauseOnceTheirDisconnectsAreKnown() {
        vms.onPause(board.now);
        assertFalse(vms.mayStartFor(SELF, 0));
        assertEquals(effects, List.of(new PoolEffect.CheckCallers(1_000)));
        vms.onCallersChecked(999);
        assertFalse(vms.mayStartFor(SELF, 0));
        vms.onCallersChecked(1_000);
        assertTrue(vms.mayStartFor(SELF, 0));
    }

    @Test
    public void aVmThatIsNotLinkedGetsNoStarts() {
        vms.onAcknowledged(ENTRY, 990);
        vms.onDown(ENTRY);
        assertFalse(vms.onAcknowledged(ENTRY, 1_000));
        assertFalse(vms.mayStartFor(ENTRY, LINK));
    }

    @Test
    public void onlyAGapBetweenTheEventsOfAnOwnerIsAPause() {
        assertFalse(vms.isPauseBefore(1_400));
        assertTrue(vms.isPauseBefore(1_401));
        board.role = OwnerRole.FOLLOWER;
        assertFalse(vms.isPauseBefore(1_401));
    }

    @Test
    public void jobsOfAnEarlierLinkAreNotStarted() {
        vms.onUp(ENTRY, LINK + 1, true);
        vms.onAcknowledged(ENTRY, 990);
        assertTrue(vms.mayStartFor(ENTRY, LINK + 1));
        assertFalse(vms.mayStartFor(ENTRY, LINK));
    }
}
