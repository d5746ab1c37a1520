package org.gooseberrypier.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against runs of jobs that an entry VM does not have any more, while its link to the owner works: the core of the VM
 * handles its events late, or messages of both ends cross. An owner and an entry VM exchange their messages by hand.
 */
public class CrossingMessagesTest {

    private static final VmIncarnation OWNER = new VmIncarnation("10.0.0.1:1", "zone-b", 1, 1_000);
    private static final VmIncarnation ENTRY = new VmIncarnation("10.0.0.2:1", "zone-c", 2, 1_000);
    private static final PoolEndpoint ENDPOINT =
            new PoolEndpoint("endpoint", "10.1.0.1:1", "zone-b", "service", List.of("a"), 16_000, 65_536, false);
    private static final PoolEndpoint SMALL_ENDPOINT =
            new PoolEndpoint("small", "10.1.0.2:1", "zone-b", "service", List.of("a"), 1_000, 65_536, false);
    private static final String JOB = "job-1";

    /** Time after which a caller that has left submits its job again, in milliseconds. */
    private static final long RESUBMISSION_DELAY_MS = 1_300;

    private final List<PoolEffect> ownerEffects = new ArrayList<>();
    private final List<PoolEffect> entryEffects = new ArrayList<>();
    /** Messages of the owner that the entry VM's core has not handled. */
    private final Deque<PoolMessage.ToEntry> unread = new ArrayDeque<>();

    private final Deque<PoolEffect.RenewLeases> renewals = new ArrayDeque<>();
    private final List<String> started = new ArrayList<>();
    /** The calls that the entry VM has answered. */
    private final List<Long> answered = new ArrayList<>();

    private PoolCore owner;
    private PoolCore entry;
    private long nowMs;
    private long stream;
    private long ownerLink;
    private boolean entryHandlesEvents;
    private boolean entryTicks;

    @BeforeMethod
    public void link() {
        ownerEffects.clear();
        entryEffects.clear();
        unread.clear();
        renewals.clear();
        started.clear();
        answered.clear();
        nowMs = 100_000;
        stream = 0;
        entryHandlesEvents = true;
        entryTicks = true;
        owner = new PoolCore(OWNER, 3, nowMs, ownerEffects::add);
        owner.handle(new PoolEvent.OwnershipRead(0, Optional.empty(), nowMs), nowMs);
        owner.handle(new PoolEvent.ClaimEnded(OWNER, new ClaimResult.Accepted(0)), nowMs);
        owner.handle(new PoolEvent.EndpointsRead(List.of(), nowMs), nowMs);
        entry = new PoolCore(ENTRY, 3, nowMs, entryEffects::add);
        toEntry(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, OWNER)), nowMs));
        openStream();
        toEntry(new PoolEvent.OwnerLinkUp(OWNER.address(), ownerLink));
        run(100);
    }

    /** Opens the next stream; the entry VM's core does not know of it yet. */
    private void openStream() {
        stream++;
        if (stream > 1) {
            toOwner(new PoolEvent.EntryLinkDown(ENTRY, stream - 1));
        }
        toOwner(new PoolEvent.EntryLinkUp(ENTRY, stream, true));
    }

    private void toOwner(PoolEvent event) {
        owner.handle(event, nowMs);
        for (PoolEffect e : List.copyOf(ownerEffects)) {
            ownerEffects.remove(e);
            perform(e);
        }
    }

    private void perform(PoolEffect effect) {
        if (effect instanceof PoolEffect.SendToEntry s && s.vm().equals(ENTRY)) {
            unread.add(s.message());
        } else if (effect instanceof PoolEffect.RenewLeases r) {
            renewals.add(r);
        } else if (effect instanceof PoolEffect.Start s) {
            started.add(s.run().job());
        }
    }

    /** Lets the entry VM handle an event; what it sends goes out on the stream that is open. */
    private void toEntry(PoolEvent event) {
        entry.handle(event, nowMs);
        for (PoolEffect e : List.copyOf(entryEffects)) {
            if (e instanceof PoolEffect.SendToOwner s) {
                toOwner(new PoolEvent.EntryMessageReceived(ENTRY, stream, s.message()));
            } else if (e instanceof PoolEffect.LinkOwner l) {
                ownerLink = l.link();
            } else if (e instanceof PoolEffect.Answer a) {
                answered.add(a.call());
            }
        }
        entryEffects.clear();
    }

    private void readMessages() {
        while (!unread.isEmpty()) {
            toEntry(new PoolEvent.OwnerMessageReceived(OWNER.address(), ownerLink, unread.poll()));
        }
    }

    private void run(long ms) {
        for (long end = nowMs + ms; nowMs < end; nowMs += 10) {
            toOwner(new PoolEvent.Tick());
            for (PoolEffect.RenewLeases r : List.copyOf(renewals)) {
                renewals.remove(r);
                toOwner(new PoolEvent.LeaseRenewalEnded(
                        r, new LeaseRenewalResult.Held(nowMs, 1, List.of(), List.of())));
            }
            if (entryHandlesEvents) {
                readMessages();
            }
            if (entryHandlesEvents && entryTicks && nowMs % 40 == 0) {
                toEntry(new PoolEvent.Tick());
            }
        }
    }

    private void submit(long call, long patienceMs) {
        toEntry(new PoolEvent.JobSubmitted(call, PoolJobs.patientJob(JOB, 1, 100), patienceMs));
    }

    private void addEndpoint() {
        toOwner(new PoolEvent.EndpointsRead(List.of(ENDPOINT), nowMs));
    }

    @Test
    public void aJobThatIsAwaitedStartsWhenThereIsRoom() {
        submit(1, PoolEvent.JobSubmitted.UNLIMITED);
        run(100);
        addEndpoint();
        run(2_000);
        assertEquals(started, List.of(JOB));
    }

    /** The owner ends the job since the VM forwards nothing over its new stream; the VM's forward crosses the outcome. */
    @Test
    public void aJobThatWasAnsweredWhileItWasForwardedAgainIsNotStarted() {
        submit(1, PoolEvent.JobSubmitted.UNLIMITED);
        run(100);
        toEntry(new PoolEvent.OwnerLinkDown(OWNER.address(), ownerLink, false));
        openStream();
        entryHandlesEvents = false;
        run(500);
        toEntry(new PoolEvent.OwnerLinkUp(OWNER.address(), ownerLink));
        entryHandlesEvents = true;
        readMessages();
        assertEquals(answered, List.of(1L));
        run(RESUBMISSION_DELAY_MS);
        addEndpoint();
        run(2_000);
        assertEquals(started, List.of());
    }

    /** The owner refuses a job that is too large; the VM forwards it again over its next stream before it reads that. */
    @Test
    public void aJobThatWasRefusedWhileItWasForwardedAgainIsNotStarted() {
        toOwner(new PoolEvent.EndpointsRead(List.of(SMALL_ENDPOINT), nowMs));
        run(100);
        entryHandlesEvents = false;
        submit(1, PoolEvent.JobSubmitted.UNLIMITED);
        toEntry(new PoolEvent.OwnerLinkDown(OWNER.address(), ownerLink, false));
        openStream();
        toEntry(new PoolEvent.OwnerLinkUp(OWNER.address(), ownerLink));
        addEndpoint();
        run(100);
        entryHandlesEvents = true;
        run(2_000);
        assertEquals(answered, List.of(1L));
        assertEquals(started, List.of());
    }

    /** The stream is replaced when the owner is about to end the jobs of the lost one; no event is handled late. */
    @Test
    public void aJobThatWasAnsweredRightAfterItsStreamWasReplacedIsNotStarted() {
        submit(1, PoolEvent.JobSubmitted.UNLIMITED);
        run(100);
        toOwner(new PoolEvent.EntryLinkDown(ENTRY, stream));
        toEntry(new PoolEvent.OwnerLinkDown(OWNER.address(), ownerLink, false));
        run(400);
        openStream();
        toOwner(new PoolEvent.Tick());
        nowMs += 1;
        toOwner(new PoolEvent.Tick());
        toEntry(new PoolEvent.OwnerLinkUp(OWNER.address(), ownerLink));
        readMessages();
        assertEquals(answered, List.of(1L));
        run(RESUBMISSION_DELAY_MS);
        addEndpoint();
        run(2_000);
        assertEquals(started, List.of());
    }

    /** The core of the VM forwards a job when the next stream is open, and handles the loss of the earlier one after that. */
    @Test
    public void aJobThatWasForwardedBeforeItsLinkWasKnownToBeUpIsNotStarted() {
        openStream();
        submit(1, PoolEvent.JobSubmitted.UNLIMITED);
        toEntry(new PoolEvent.OwnerLinkDown(OWNER.address(), ownerLink, false));
        toEntry(new PoolEvent.CallerDisconnected(1));
        toEntry(new PoolEvent.OwnerLinkUp(OWNER.address(), ownerLink));
        run(RESUBMISSION_DELAY_MS);
        addEndpoint();
        run(2_000);
        assertEquals(started, List.of());
    }

    /** A VM skips its ticks while its event loop counts as blocked, and acknowledges the heartbeats that it reads. */
    @Test
    public void aJobOfAnOverdueCallerIsNotStartedWhileTheVmSkipsItsTicks() {
        submit(1, 500);
        run(100);
        entryTicks = false;
        run(400 + RESUBMISSION_DELAY_MS);
        addEndpoint();
        run(100);
        assertEquals(started, List.of());
    }

    /** An answer to the forward of an earlier submission of the same job at the same VM comes late. */
    @Test
    public void aJobIsWithdrawnAlthoughAnEarlierSubmissionOfItWasNotAdmitted() {
        submit(1, PoolEvent.JobSubmitted.UNLIMITED);
        toEntry(new PoolEvent.CallerDisconnected(1));
        submit(2, PoolEvent.JobSubmitted.UNLIMITED);
        toEntry(new PoolEvent.OwnerMessageReceived(OWNER.address(), ownerLink, new PoolMessage.JobNotAdmitted(JOB)));
        toEntry(new PoolEvent.CallerDisconnected(2));
        run(RESUBMISSION_DELAY_MS);
        addEndpoint();
        run(2_000);
        assertEquals(started, List.of());
    }

    /** The owner ends the first submission at its deadline; its outcome crosses the withdrawal and the second submission. */
    @Test
    public void aJobThatTheOutcomeOfAnEarlierSubmissionAnsweredIsNotStarted() {
        submit(1, 500);
        run(100);
        entryHandlesEvents = false;
        run(430);
        submit(2, PoolEvent.JobSubmitted.UNLIMITED);
        entryHandlesEvents = true;
        readMessages();
        assertEquals(answered, List.of(1L, 2L));
        run(RESUBMISSION_DELAY_MS);
        addEndpoint();
        run(2_000);
        assertEquals(started, List.of());
    }
}
