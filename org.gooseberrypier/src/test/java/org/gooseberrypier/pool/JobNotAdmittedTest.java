package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Replays a restart of all VMs: entry VMs link to the VM that the newest record names before it has claimed the pool again, and
 * hand their jobs to it. A job that it did not admit must not be treated as one that an earlier owner may have run: it would
 * wait for the guard on earlier runs until it is too late.
 */
public class JobNotAdmittedTest {

    private static final VmIncarnation ENTRY = new VmIncarnation("10.0.0.1:1", "zone-a", 1, 1_000);
    private static final VmIncarnation OLD_OWNER = new VmIncarnation("10.0.0.2:1", "zone-b", 2, 1_000);
    private static final VmIncarnation RESTARTED = new VmIncarnation("10.0.0.2:1", "zone-b", 3, 1_000);

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolCore core;
    private long nowMs;

    @BeforeMethod
    public void linkToTheVmThatTheNewestRecordNames() {
        effects.clear();
        nowMs = 1_000;
        core = new PoolCore(ENTRY, 3, nowMs, effects::add);
        core.handle(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, OLD_OWNER)), nowMs), nowMs);
        link();
    }

    private void link() {
        nowMs += 10;
        core.handle(new PoolEvent.OwnerLinkUp(OLD_OWNER.address(), currentLink()), nowMs);
    }

    private long currentLink() {
        long link = 0;
        for (PoolEffect e : effects) {
            if (e instanceof PoolEffect.LinkOwner l) {
                link = l.link();
            }
        }
        return link;
    }

    private void receive(PoolMessage.ToEntry message) {
        receive(currentLink(), message);
    }

    private void receive(long link, PoolMessage.ToEntry message) {
        core.handle(new PoolEvent.OwnerMessageReceived(OLD_OWNER.address(), link, message), ++nowMs);
    }

    private void submit(long call, String job) {
        core.handle(
                new PoolEvent.JobSubmitted(call, PoolJobs.job(job, 1, 100), PoolEvent.JobSubmitted.UNLIMITED), nowMs);
    }

    private List<Integer> earlierOwnersOf(String job) {
        List<Integer> forwards = new ArrayList<>();
        for (PoolEffect e : effects) {
            if (e instanceof PoolEffect.SendToOwner s
                    && s.message() instanceof PoolMessage.ForwardJob f
                    && f.job().id().equals(job)) {
                forwards.add(f.earlierOwners());
            }
        }
        return forwards;
    }

    @Test
    public void jobsThatWereNotAdmittedAreNewToTheOwner() {
        submit(1, "job-1");
        submit(2, "job-2");
        long link = currentLink();
        receive(link, new PoolMessage.JobNotAdmitted("job-1"));
        receive(link, new PoolMessage.NotOwner(0));
        receive(link, new PoolMessage.JobNotAdmitted("job-2"));
        receive(link, new PoolMessage.NotOwner(0));
        link();
        assertEquals(earlierOwnersOf("job-1"), List.of(0, 0));
        assertEquals(earlierOwnersOf("job-2"), List.of(0, 0));
    }

    @Test
    public void jobsWithoutThatAnswerMayHaveRun() {
        submit(1, "job-1");
        receive(new PoolMessage.NotOwner(0));
        link();
        assertEquals(earlierOwnersOf("job-1"), List.of(0, 1));
    }

    @Test
    public void anAnswerThatArrivesAfterTheNextForwardDoesNotHideThatForward() {
        submit(1, "job-1");
        long earlier = currentLink();
        receive(new PoolMessage.NotOwner(0));
        link();
        receive(earlier, new PoolMessage.JobNotAdmitted("job-1"));
        receive(new PoolMessage.NotOwner(0));
        link();
        assertEquals(earlierOwnersOf("job-1"), List.of(0, 1, 1));
    }

    @Test
    public void jobsThatNoOwnerAdmittedAreRefusedAsNotRun() {
        submit(1, "job-1");
        receive(new PoolMessage.JobNotAdmitted("job-1"));
        core.handle(new PoolEvent.OwnerLinkDown(OLD_OWNER.address(), currentLink(), false), nowMs);
        for (int i = 0; i < 40; i++) {
            nowMs += 40;
            core.handle(new PoolEvent.Tick(), nowMs);
        }
        Optional<JobOutcome> outcome = effects.stream()
                .filter(PoolEffect.Answer.class::isInstance)
                .map(e -> ((PoolEffect.Answer) e).outcome())
                .findFirst();
        assertTrue(outcome.isPresent() && outcome.get() instanceof JobOutcome.Refused, "outcome " + outcome);
    }

    @Test
    public void aVmThatOwnsNothingAnswersEachForwardedJobBeforeItSaysThatItIsNotTheOwner() {
        PoolCore restarted = new PoolCore(RESTARTED, 3, nowMs, effects::add);
        restarted.handle(new PoolEvent.EntryLinkUp(ENTRY, 1, true), nowMs);
        effects.clear();
        PoolMessage.ForwardJob forward = new PoolMessage.ForwardJob(
                PoolJobs.job("job-1", 1, 100), 0, 0, List.of(), false, PoolMessage.ForwardJob.UNLIMITED);
        restarted.handle(new PoolEvent.EntryMessageReceived(ENTRY, 1, forward), nowMs);
        List<PoolMessage.ToEntry> sent = new ArrayList<>();
        for (PoolEffect e : effects) {
            if (e instanceof PoolEffect.SendToEntry s) {
                sent.add(s.message());
            }
        }
        assertEquals(sent.size(), 2);
        assertEquals(sent.get(0), new PoolMessage.JobNotAdmitted("job-1"));
        assertTrue(sent.get(1) instanceof PoolMessage.NotOwner);
    }

    @Test
    public void heartbeatsDoNotChangeWhatIsKnownOfAForwardedJob() {
        submit(1, "job-1");
        receive(new PoolMessage.Heartbeat(1, 0, List.of(), Map.of(), false));
        receive(new PoolMessage.NotOwner(0));
        link();
        assertEquals(earlierOwnersOf("job-1"), List.of(0, 1));
    }
}
