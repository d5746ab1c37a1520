package org.gooseberrypier.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against leases for a job whose forward was on its way for long, and whose withdrawal was lost with its link. */
public class LateForwardTest {

    private static final VmIncarnation OWNER = new VmIncarnation("10.0.0.1:1", "zone-b", 1, 1_000);
    private static final VmIncarnation ENTRY = new VmIncarnation("10.0.0.2:1", "zone-c", 2, 1_000);
    private static final PoolEndpoint ENDPOINT =
            new PoolEndpoint("endpoint", "10.1.0.1:1", "zone-b", "service", List.of("a"), 16_000, 65_536, false);

    /** Time that messages of the entry VM are on their way, in milliseconds; less than the silence after which a link is lost. */
    private static final long DELAY_MS = 280;

    /** Time after which a caller that has left submits its job again, in milliseconds, on a clock that loses 2.5 per cent. */
    private static final long MAX_LEASE_AFTER_LEAVING_MS = (long) (1_300 / 1.025);

    private final Deque<PoolEffect> effects = new ArrayDeque<>();
    private final Deque<Late> late = new ArrayDeque<>();
    private final List<RunProgress> running = new ArrayList<>();
    private PoolCore owner;
    private long nowMs = 100_000;
    private long leaseEndMs;
    private boolean linked = true;

    /**
     * A message of the entry VM that is on its way.
     *
     * @param atMs when it arrives, in milliseconds
     * @param message the message
     */
    private record Late(long atMs, PoolMessage.ToOwner message) {}

    private void deliver(PoolEvent event) {
        owner.handle(event, nowMs);
    }

    private void run(long ms) {
        for (long end = nowMs + ms; nowMs < end; nowMs += 10) {
            while (linked && !late.isEmpty() && late.peek().atMs() <= nowMs) {
                deliver(new PoolEvent.EntryMessageReceived(ENTRY, 1, late.poll().message()));
            }
            deliver(new PoolEvent.Tick());
            List<PoolEffect> pending = List.copyOf(effects);
            effects.clear();
            pending.forEach(this::answer);
        }
    }

    /** Answers as an endpoint does that carries out no stop, and acknowledges heartbeats. */
    private void answer(PoolEffect effect) {
        if (effect instanceof PoolEffect.SendToEntry s && s.message() instanceof PoolMessage.Heartbeat h) {
            late.add(new Late(nowMs + DELAY_MS, new PoolMessage.HeartbeatReceived(h.sentAtMs())));
        } else if (effect instanceof PoolEffect.RenewLeases r) {
            leaseEndMs = Math.max(leaseEndMs, r.deadlineMs());
            deliver(new PoolEvent.LeaseRenewalEnded(
                    r, new LeaseRenewalResult.Held(nowMs, 1, List.copyOf(running), List.of())));
        } else if (effect instanceof PoolEffect.Start s) {
            leaseEndMs = Math.max(leaseEndMs, s.deadlineMs());
            running.add(new RunProgress(s.run(), 1));
            deliver(new PoolEvent.StartEnded(s, StartResult.STARTED));
        } else if (effect instanceof PoolEffect.Stop s) {
            deliver(new PoolEvent.StopEnded(s, false));
        }
    }

    @Test
    public void leasesEndBeforeACallerIsBackThatLeftWhileItsJobWasOnItsWay() {
        owner = new PoolCore(OWNER, 3, nowMs, effects::add);
        deliver(new PoolEvent.OwnershipRead(0, Optional.empty(), nowMs));
        deliver(new PoolEvent.ClaimEnded(OWNER, new ClaimResult.Accepted(0)));
        deliver(new PoolEvent.EndpointsRead(List.of(ENDPOINT), nowMs));
        deliver(new PoolEvent.EntryLinkUp(ENTRY, 1, true));
        run(1_000);
        long leftMs = nowMs;
        PoolJob job = PoolJobs.patientJob("job-1", 1, 5_000);
        late.add(new Late(
                nowMs + DELAY_MS,
                new PoolMessage.ForwardJob(job, 0, 0, List.of(), false, PoolMessage.ForwardJob.UNLIMITED)));
        run(DELAY_MS + 20);
        assertEquals(running.size(), 1);
        linked = false;
        deliver(new PoolEvent.EntryLinkDown(ENTRY, 1));
        run(2_000);
        assertTrue(
                leaseEndMs - leftMs <= MAX_LEASE_AFTER_LEAVING_MS,
                "the lease ends " + (leaseEndMs - leftMs) + " ms after the caller has left");
    }
}
