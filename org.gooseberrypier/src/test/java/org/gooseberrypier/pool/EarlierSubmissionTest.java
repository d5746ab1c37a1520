package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that answers to an earlier submission, or of an earlier time, are not taken as answers to the present one. */
public class EarlierSubmissionTest {

    private static final VmIncarnation OWNER = new VmIncarnation("10.0.0.1:1", "zone-b", 1, 1_000);
    private static final VmIncarnation ENTRY = new VmIncarnation("10.0.0.2:1", "zone-c", 2, 1_000);
    private static final PoolEndpoint ENDPOINT =
            new PoolEndpoint("endpoint", "10.1.0.1:1", "zone-b", "service", List.of("a"), 16_000, 65_536, false);
    private static final PoolEndpoint SMALL_ENDPOINT =
            new PoolEndpoint("small", "10.1.0.2:1", "zone-b", "service", List.of("a"), 1_000, 65_536, false);
    private static final String JOB = "job-1";
    private static final long UNLIMITED = PoolMessage.ForwardJob.UNLIMITED;

    private final List<PoolEffect> entryEffects = new ArrayList<>();
    private final List<PoolEffect> ownerEffects = new ArrayList<>();
    private PoolCore entry;
    private PoolCore owner;
    private long nowMs;

    @BeforeMethod
    public void begin() {
        entryEffects.clear();
        ownerEffects.clear();
        nowMs = 100_000;
        entry = new PoolCore(ENTRY, 3, nowMs, entryEffects::add);
        toEntry(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, OWNER)), nowMs));
        toEntry(new PoolEvent.OwnerLinkUp(OWNER.address(), ownerLink()));
        owner = new PoolCore(OWNER, 3, nowMs, ownerEffects::add);
        toOwner(new PoolEvent.OwnershipRead(0, Optional.empty(), nowMs));
        toOwner(new PoolEvent.ClaimEnded(OWNER, new ClaimResult.Accepted(0)));
        toOwner(new PoolEvent.EntryLinkUp(ENTRY, 1, true));
    }

    private void toEntry(PoolEvent event) {
        entry.handle(event, ++nowMs);
    }

    private void toOwner(PoolEvent event) {
        owner.handle(event, ++nowMs);
    }

    private long ownerLink() {
        return entryEffects.stream()
                .filter(PoolEffect.LinkOwner.class::isInstance)
                .mapToLong(e -> ((PoolEffect.LinkOwner) e).link())
                .max()
                .orElseThrow();
    }

    private void submit(long call) {
        toEntry(new PoolEvent.JobSubmitted(call, PoolJobs.patientJob(JOB, 1, 100), PoolEvent.JobSubmitted.UNLIMITED));
    }

    private void receive(PoolMessage.ToEntry message) {
        toEntry(new PoolEvent.OwnerMessageReceived(OWNER.address(), ownerLink(), message));
    }

    private List<PoolMessage.ToOwner> sent() {
        return entryEffects.stream()
                .filter(PoolEffect.SendToOwner.class::isInstance)
                .map(e -> ((PoolEffect.SendToOwner) e).message())
                .toList();
    }

    private void submitTwice() {
        submit(1);
        toEntry(new PoolEvent.CallerDisconnected(1));
        submit(2);
    }

    /** The owner ended the first submission (as at its deadline) before it read the withdrawal and the second forward. */
    @Test
    public void aJobThatAnOutcomeOfAnEarlierSubmissionAnsweredIsWithdrawn() {
        submitTwice();
        receive(new PoolMessage.JobFinished(JOB, new JobOutcome.Unknown("link interrupted")));
        boolean answered = entryEffects.stream().anyMatch(e -> e instanceof PoolEffect.Answer a && a.call() == 2);
        List<PoolMessage.ToOwner> all = sent();
        boolean withdrawn = all.get(all.size() - 1).equals(new PoolMessage.WithdrawJob(JOB));
        assertTrue(!answered || withdrawn, "answered and left at the owner: " + all);
    }

    /** The answer is of the first submission's forward; the second one may run, so that the next owner must wait. */
    @Test(groups = "known-red")
    public void aJobCountsAsAdmittedAlthoughAnEarlierSubmissionOfItWasNot() {
        submitTwice();
        receive(new PoolMessage.JobNotAdmitted(JOB));
        toEntry(new PoolEvent.OwnerLinkDown(OWNER.address(), ownerLink(), false));
        toEntry(new PoolEvent.OwnerLinkUp(OWNER.address(), ownerLink()));
        List<PoolMessage.ToOwner> all = sent();
        PoolMessage.ForwardJob next = (PoolMessage.ForwardJob) all.get(all.size() - 1);
        assertTrue(next.hadEarlierOwner(), "forwarded as new: " + next);
    }

    private void forward(int earlierOwners, long ageMs) {
        toOwner(new PoolEvent.EntryMessageReceived(
                ENTRY,
                1,
                new PoolMessage.ForwardJob(
                        PoolJobs.patientJob(JOB, 1, 100), ageMs, earlierOwners, List.of(), false, UNLIMITED)));
    }

    private List<JobOutcome> outcomes() {
        return ownerEffects.stream()
                .filter(e -> e instanceof PoolEffect.SendToEntry s && s.message() instanceof PoolMessage.JobFinished)
                .map(e -> ((PoolMessage.JobFinished) ((PoolEffect.SendToEntry) e).message()).outcome())
                .toList();
    }

    private void refuseFirstForward() {
        toOwner(new PoolEvent.EndpointsRead(List.of(SMALL_ENDPOINT), nowMs));
        forward(0, 0);
        assertEquals(outcomes().size(), 1);
        assertTrue(outcomes().get(0) instanceof JobOutcome.Refused, outcomes().toString());
        ownerEffects.clear();
        toOwner(new PoolEvent.EndpointsRead(List.of(SMALL_ENDPOINT, ENDPOINT), nowMs));
    }

    /** The refusal is lost in a cut; the VM forwards the job to the owner of its zone, which runs it, and then here again. */
    @Test
    public void aJobThatAnotherOwnerHadSinceItsRefusalIsNotRefusedAgain() {
        refuseFirstForward();
        nowMs += 3_000;
        forward(2, 3_000);
        assertFalse(
                outcomes().stream().anyMatch(JobOutcome.Refused.class::isInstance),
                outcomes().toString());
    }

    /** The caller got the refusal and submitted the job again; the owner of the VM's zone ran that during a cut. */
    @Test
    public void aSubmissionThatBeganAfterTheRefusalAndRanElsewhereIsNotRefused() {
        refuseFirstForward();
        nowMs += 3_000;
        forward(1, 1_000);
        assertFalse(
                outcomes().stream().anyMatch(JobOutcome.Refused.class::isInstance),
                outcomes().toString());
    }

    private void forwardAwaited(long awaitedMs) {
        toOwner(new PoolEvent.EntryMessageReceived(
                ENTRY,
                1,
                new PoolMessage.ForwardJob(PoolJobs.patientJob(JOB, 1, 5_000), 0, 0, List.of(), false, awaitedMs)));
    }

    private final List<RunProgress> running = new ArrayList<>();

    /** Lets time pass; the endpoint accepts stops, and carries them out only if it is told to. */
    private void runOwner(long ms, boolean carriesOutStops) {
        for (long end = nowMs + ms; nowMs < end; nowMs += 9) {
            toOwner(new PoolEvent.Tick());
            List<PoolEffect> pending = List.copyOf(ownerEffects);
            ownerEffects.removeIf(
                    e -> !(e instanceof PoolEffect.SendToEntry s && s.message() instanceof PoolMessage.JobFinished));
            for (PoolEffect e : pending) {
                if (e instanceof PoolEffect.SendToEntry s && s.message() instanceof PoolMessage.Heartbeat h) {
                    toOwner(new PoolEvent.EntryMessageReceived(
                            ENTRY, 1, new PoolMessage.HeartbeatReceived(h.sentAtMs())));
                } else if (e instanceof PoolEffect.RenewLeases r) {
                    toOwner(new PoolEvent.LeaseRenewalEnded(
                            r, new LeaseRenewalResult.Held(nowMs, 1, List.copyOf(running), List.of())));
                } else if (e instanceof PoolEffect.Start s) {
                    running.add(new RunProgress(s.run(), 1));
                    toOwner(new PoolEvent.StartEnded(s, StartResult.STARTED));
                } else if (e instanceof PoolEffect.Stop s) {
                    if (carriesOutStops) {
                        running.clear();
                    }
                    toOwner(new PoolEvent.StopEnded(s, carriesOutStops));
                }
            }
        }
    }

    private void extendWhileEnding(boolean ending) {
        running.clear();
        toOwner(new PoolEvent.EndpointsRead(List.of(ENDPOINT), nowMs));
        runOwner(300, true);
        forwardAwaited(UNLIMITED);
        runOwner(100, false);
        assertEquals(running.size(), 1, "started");
        if (ending) {
            toOwner(new PoolEvent.EntryMessageReceived(ENTRY, 1, new PoolMessage.WithdrawJob(JOB)));
        }
        forwardAwaited(800);
        toOwner(new PoolEvent.EntryMessageReceived(ENTRY, 1, new PoolMessage.ExtendJob(JOB, 10_000)));
        runOwner(50, false);
        runOwner(2_000, true);
    }

    /** Two callers wait; the second one joined while the runs of an earlier submission were being stopped. */
    @Test
    public void aJobIsExtendedThatWaitsForTheEndOfAnEarlierSubmission() {
        extendWhileEnding(true);
        assertEquals(outcomes(), List.of(), outcomes().toString());
    }

    @Test
    public void aJobIsExtended() {
        extendWhileEnding(false);
        assertEquals(outcomes(), List.of(), outcomes().toString());
    }

    /** An owner gets no heartbeats that could show that its time of day was set, so it takes each step for a suspension. */
    @Test(groups = "known-red")
    public void aStepOfTheTimeOfDayEndsNoJobOfTheOwnersOwnCallers() {
        toOwner(new PoolEvent.JobSubmitted(7, PoolJobs.patientJob(JOB, 1, 100), 5_000));
        toOwner(new PoolEvent.PauseDetected(60_000));
        for (int i = 0; i < 100; i++) {
            nowMs += 9;
            toOwner(new PoolEvent.Tick());
        }
        List<PoolEffect> answers = ownerEffects.stream()
                .filter(PoolEffect.Answer.class::isInstance)
                .toList();
        assertEquals(answers, List.of(), answers.toString());
    }
}
