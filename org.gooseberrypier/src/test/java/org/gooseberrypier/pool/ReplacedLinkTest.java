package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against runs of jobs that an entry VM had forwarded over an earlier link and does not wait for any more. */
public class ReplacedLinkTest {

    private static final VmIncarnation OWNER = new VmIncarnation("10.0.0.1:1", "zone-b", 1, 1_000);
    private static final VmIncarnation ENTRY = new VmIncarnation("10.0.0.2:1", "zone-c", 2, 1_000);
    private static final PoolEndpoint ENDPOINT =
            new PoolEndpoint("endpoint", "10.1.0.1:1", "zone-b", "service", List.of("a"), 16_000, 65_536, false);

    /** Longer than a job of an earlier owner waits and than a lost link may take to come up again. */
    private static final long WAIT_MS = 2_500;

    private final List<PoolEffect> pending = new ArrayList<>();
    private final List<String> started = new ArrayList<>();
    private final List<RunProgress> running = new ArrayList<>();
    private PoolCore owner;
    private long nowMs;
    private long current;

    @BeforeMethod
    public void claim() {
        pending.clear();
        started.clear();
        running.clear();
        nowMs = 100_000;
        owner = new PoolCore(OWNER, 3, nowMs, pending::add);
        deliver(new PoolEvent.OwnershipRead(0, Optional.empty(), nowMs));
        deliver(new PoolEvent.ClaimEnded(OWNER, new ClaimResult.Accepted(0)));
        deliver(new PoolEvent.EndpointsRead(List.of(ENDPOINT), nowMs));
    }

    private void deliver(PoolEvent event) {
        owner.handle(event, nowMs);
    }

    private void open(long link) {
        deliver(new PoolEvent.EntryLinkUp(ENTRY, link, true));
        current = link;
    }

    private void forward(String job) {
        forward(job, current);
    }

    private void forward(String job, long link) {
        PoolJob spec = PoolJobs.patientJob(job, 1, 100);
        deliver(new PoolEvent.EntryMessageReceived(
                ENTRY,
                link,
                new PoolMessage.ForwardJob(spec, 500, 1, List.of(), false, PoolMessage.ForwardJob.UNLIMITED)));
    }

    /** Lets time pass; the endpoint answers all calls and the entry VM acknowledges all heartbeats. */
    private void run(long ms) {
        for (long end = nowMs + ms; nowMs < end; nowMs += 10) {
            deliver(new PoolEvent.Tick());
            for (PoolEffect e : List.copyOf(pending)) {
                pending.remove(e);
                answer(e);
            }
        }
    }

    private void answer(PoolEffect effect) {
        if (effect instanceof PoolEffect.SendToEntry s && s.message() instanceof PoolMessage.Heartbeat h) {
            deliver(new PoolEvent.EntryMessageReceived(
                    ENTRY, current, new PoolMessage.HeartbeatReceived(h.sentAtMs())));
        } else if (effect instanceof PoolEffect.RenewLeases r) {
            deliver(new PoolEvent.LeaseRenewalEnded(r, new LeaseRenewalResult.Held(nowMs, 1, running, List.of())));
        } else if (effect instanceof PoolEffect.Start s) {
            started.add(s.run().job());
            running.add(new RunProgress(s.run(), 1));
            deliver(new PoolEvent.StartEnded(s, StartResult.STARTED));
        }
    }

    /** A VM cannot withdraw a job while it has no link, and does not forward it again after its caller has left. */
    @Test
    public void jobsThatAreNotForwardedOverTheNewLinkAreNotStarted() {
        open(1);
        forward("abandoned");
        forward("awaited");
        run(100);
        open(2);
        forward("awaited");
        run(WAIT_MS);
        assertEquals(started, List.of("awaited"));
    }

    /** The network may deliver what was sent on a link after both ends have given it up. */
    @Test
    public void jobsThatArriveOverAnEarlierLinkAreNotAdmitted() {
        open(1);
        open(2);
        forward("abandoned", 1);
        forward("awaited");
        run(WAIT_MS);
        assertEquals(started, List.of("awaited"));
    }

    @Test
    public void aLateLossOfAnEarlierLinkDoesNotEndTheJobsOfTheCurrentOne() {
        open(1);
        open(2);
        forward("awaited");
        deliver(new PoolEvent.EntryLinkDown(ENTRY, 1));
        run(WAIT_MS);
        assertEquals(started, List.of("awaited"));
    }

    /** A job that was forwarded again while its runs were being stopped is admitted later than it was forwarded. */
    @Test
    public void aResubmissionIsNotStartedAfterItsLinkIsLost() {
        open(1);
        forward("abandoned");
        run(WAIT_MS);
        deliver(new PoolEvent.EntryMessageReceived(ENTRY, 1, new PoolMessage.WithdrawJob("abandoned")));
        forward("abandoned");
        open(2);
        run(WAIT_MS);
        assertEquals(started, List.of("abandoned"));
    }
}
