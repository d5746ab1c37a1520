package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Replays events of a link to the owner that come after the entry VM has closed it and opened another to the same address. */
public class ClosedOwnerLinkTest {

    private static final VmIncarnation ENTRY = new VmIncarnation("10.0.0.1:1", "zone-a", 1, 1_000);
    private static final VmIncarnation OWNER = new VmIncarnation("10.0.0.2:1", "zone-b", 2, 1_000);

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolCore core;
    private long nowMs;
    private long first;
    private long second;

    /** The VM that the record names has not claimed the pool yet, so that the entry VM closes the first link. */
    @BeforeMethod
    public void closeTheFirstLinkAndOpenAnother() {
        effects.clear();
        nowMs = 1_000;
        core = new PoolCore(ENTRY, 3, nowMs, effects::add);
        handle(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, OWNER)), nowMs));
        first = lastLink();
        handle(new PoolEvent.OwnerLinkUp(OWNER.address(), first));
        handle(new PoolEvent.JobSubmitted(1, PoolJobs.job("job-1", 1, 100), PoolEvent.JobSubmitted.UNLIMITED));
        receive(first, new PoolMessage.NotOwner(0));
        second = lastLink();
        assertTrue(second > first, "links " + first + ", " + second);
        assertEquals(forwards(), 1);
    }

    private void handle(PoolEvent event) {
        core.handle(event, ++nowMs);
    }

    private void receive(long link, PoolMessage.ToEntry message) {
        handle(new PoolEvent.OwnerMessageReceived(OWNER.address(), link, message));
    }

    private long lastLink() {
        long link = 0;
        for (PoolEffect e : effects) {
            if (e instanceof PoolEffect.LinkOwner l) {
                assertEquals(l.peer(), OWNER.address());
                link = l.link();
            }
        }
        return link;
    }

    private long forwards() {
        return sent(PoolMessage.ForwardJob.class);
    }

    private long sent(Class<? extends PoolMessage.ToOwner> type) {
        return effects.stream()
                .filter(e -> e instanceof PoolEffect.SendToOwner s && type.isInstance(s.message()))
                .count();
    }

    /** What the VM forwards while its new link is not up is lost, and the job waits until the link fails. */
    @Test
    public void jobsAreNotForwardedWhenTheClosedLinkIsReportedUp() {
        handle(new PoolEvent.OwnerLinkUp(OWNER.address(), first));
        assertFalse(core.hasOwner());
        assertEquals(forwards(), 1);
        handle(new PoolEvent.OwnerLinkUp(OWNER.address(), second));
        assertTrue(core.hasOwner());
        assertEquals(forwards(), 2);
    }

    @Test
    public void theLossOfTheClosedLinkDoesNotEndTheNewOne() {
        handle(new PoolEvent.OwnerLinkUp(OWNER.address(), second));
        handle(new PoolEvent.OwnerLinkDown(OWNER.address(), first, false));
        assertTrue(core.hasOwner());
        handle(new PoolEvent.OwnerLinkDown(OWNER.address(), second, false));
        assertFalse(core.hasOwner());
    }

    /** A refusal shortens the delay of a claim, since nobody listens at the owner's address. */
    @Test
    public void aRefusalOfTheClosedLinkDoesNotHastenAClaim() {
        handle(new PoolEvent.OwnerLinkDown(OWNER.address(), first, true));
        assertEquals(claimsWithin(500), 0);
        handle(new PoolEvent.OwnerLinkDown(OWNER.address(), second, true));
        assertEquals(claimsWithin(500), 1);
    }

    private long claimsWithin(long ms) {
        for (long end = nowMs + ms; nowMs < end; nowMs += 20) {
            handle(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, OWNER)), nowMs));
            handle(new PoolEvent.Tick());
        }
        return effects.stream().filter(PoolEffect.Claim.class::isInstance).count();
    }

    @Test
    public void messagesOfTheClosedLinkAreIgnored() {
        handle(new PoolEvent.OwnerLinkUp(OWNER.address(), second));
        receive(first, new PoolMessage.Heartbeat(1, 0, List.of(), Map.of(), false));
        assertEquals(sent(PoolMessage.HeartbeatReceived.class), 0);
        receive(first, new PoolMessage.NotOwner(0));
        assertTrue(core.hasOwner());
        assertEquals(lastLink(), second);
        receive(second, new PoolMessage.Heartbeat(1, 0, List.of(), Map.of(), false));
        assertEquals(sent(PoolMessage.HeartbeatReceived.class), 1);
        receive(second, new PoolMessage.NotOwner(0));
        assertFalse(core.hasOwner());
    }
}
