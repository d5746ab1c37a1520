package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.RunEnd;
import org.gooseberrypier.pool.RunId;
import org.gooseberrypier.pool.RunProgress;
import org.gooseberrypier.pool.VmIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests what an owner concludes from the lists of runs and ends that endpoints report. */
public class LeaseControllerTest {

    private static final PoolEndpoint ENDPOINT =
            new PoolEndpoint("e", "10.0.0.1:1", "z", "s", List.of("a"), 16_000, 65_536, false);

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolBoard board;
    private LeaseController leases;
    private RecordingListener listener;

    @BeforeMethod
    public void begin() {
        effects.clear();
        board = new PoolBoard(new VmIncarnation("10.0.0.2:1", "z", 1, 1_000), effects::add);
        board.now = 1_000;
        board.ownerSinceMs = 1_000;
        board.role = OwnerRole.OWNER;
        board.token = 7;
        listener = new RecordingListener();
        LinkedVms linkedVms = new LinkedVms(board);
        leases = new LeaseController(board, linkedVms, new LeaseLimit(linkedVms), listener);
        leases.onEndpointsRead(new PoolEvent.EndpointsRead(List.of(ENDPOINT), 1_000));
        leases.onOwnershipBegan();
        leases.onTick();
    }

    private void listEnd(long sequence, String job) {
        PoolEffect.RenewLeases hold = (PoolEffect.RenewLeases) effects.stream()
                .filter(e -> e instanceof PoolEffect.RenewLeases)
                .reduce((a, b) -> b)
                .orElseThrow();
        RunEnd end = new RunEnd(sequence, new RunId(job, 0, 1), RunEnd.Cause.DONE);
        leases.onLeaseRenewalEnded(
                new PoolEvent.LeaseRenewalEnded(hold, new LeaseRenewalResult.Held(500, 1, List.of(), List.of(end))));
    }

    @Test
    public void doneOrphanRunsAreKeptForTheirJobs() {
        listEnd(1, "job-1");
        assertEquals(leases.takeOrphanDoneTasks("job-1"), Set.of(0));
        assertEquals(leases.takeOrphanDoneTasks("job-1"), Set.of());
    }

    @Test
    public void unclaimedDoneOrphanRunsExpire() {
        listEnd(1, "job-1");
        board.now += 10_000;
        leases.onTick();
        listEnd(2, "job-2");
        assertEquals(leases.takeOrphanDoneTasks("job-1"), Set.of());
        assertEquals(leases.takeOrphanDoneTasks("job-2"), Set.of());
    }

    private PoolEffect.RenewLeases lastRenewal() {
        return (PoolEffect.RenewLeases) effects.stream()
                .filter(PoolEffect.RenewLeases.class::isInstance)
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    @DataProvider
    public Object[][] resultsOfCallsToAnEndpointThatLeftTheList() {
        LeaseRenewalResult refused = new LeaseRenewalResult.Unanswered("connection refused", true);
        LeaseRenewalResult silent = new LeaseRenewalResult.Unanswered("no answer in time");
        LeaseRenewalResult other = new LeaseRenewalResult.Rejected(LeaseRenewalResult.Rejection.OTHER_INCARNATION);
        return new Object[][] {
            {true, refused, true},
            {true, other, true},
            {true, silent, false},
            {false, refused, false},
            {false, other, false},
        };
    }

    @Test(dataProvider = "resultsOfCallsToAnEndpointThatLeftTheList")
    public void anEndpointThatLeftTheListIsForgottenIfItDrainedAndHasCertainlyEnded(
            boolean draining, LeaseRenewalResult result, boolean forgotten) {
        PoolEndpoint last = new PoolEndpoint("e", ENDPOINT.address(), "z", "s", List.of("a"), 16_000, 65_536, draining);
        leases.onEndpointsRead(new PoolEvent.EndpointsRead(List.of(last), 1_000));
        leases.onLeaseRenewalEnded(new PoolEvent.LeaseRenewalEnded(lastRenewal(), result));
        assertTrue(board.endpoints.containsKey("e"), "it is listed");
        leases.onEndpointsRead(new PoolEvent.EndpointsRead(List.of(), 1_000));
        board.now += 100;
        leases.onTick();
        leases.onLeaseRenewalEnded(new PoolEvent.LeaseRenewalEnded(lastRenewal(), result));
        assertEquals(board.endpoints.containsKey("e"), !forgotten);
    }

    /** Guards against a second run: callers submit the job of a lost VM again when its runs must have expired. */
    @Test
    public void leasesOfOrphanRunsAreExtendedOnlyOnceTheirJobIsForwarded() {
        RunProgress orphan = new RunProgress(new RunId("job-1", 0, 1), 10);
        for (int i = 0; i < 3; i++) {
            leases.onLeaseRenewalEnded(new PoolEvent.LeaseRenewalEnded(
                    lastRenewal(), new LeaseRenewalResult.Held(500 + i, 1, List.of(orphan), List.of())));
            assertEquals(lastRenewal().deadlineMs(), PoolEffect.RenewLeases.NO_DEADLINE);
        }
        OwnedJob job = new OwnedJob(
                new PoolJob("job-1", "q", "s", "", 1, 1_000, 64, 100, 0, 3, 1.6, 60, "", ""),
                board.now,
                true,
                board.now);
        job.awaitedUntilMs = board.now;
        leases.adopt(job);
        assertEquals(lastRenewal().deadlineMs(), 502 + LeaseController.LEASE_MS);
        assertEquals(lastRenewal().waitMs(), 0);
    }

    /** Guards against a second run: an adopted run has a lease of its earlier owner also while no renewal can be sent. */
    @Test
    public void adoptedRunsAreNotTakenForExpired() {
        RunProgress orphan = new RunProgress(new RunId("job-1", 0, 1), 10);
        leases.onLeaseRenewalEnded(new PoolEvent.LeaseRenewalEnded(
                lastRenewal(), new LeaseRenewalResult.Held(500, 1, List.of(orphan), List.of())));
        board.now += 10;
        leases.probe(board.now);
        leases.adopt(new OwnedJob(
                new PoolJob("job-1", "q", "s", "", 1, 1_000, 64, 100, 0, 3, 1.6, 60, "", ""),
                board.now,
                true,
                board.now));
        board.now += 10;
        leases.onTick();
        assertEquals(listener.lost, List.of());
    }

    private OwnedTask runningTask(String job, long confirmedAtMs) {
        OwnedJob owned = new OwnedJob(
                new PoolJob(job, "q", "s", "", 1, 1_000, 64, 100, 0, 3, 1.6, 60, "", ""), board.now, false, board.now);
        OwnedTask task = owned.tasks.get(0);
        task.attempt = 1;
        owned.set(task, OwnedTask.State.RUNNING);
        task.confirmedAtMs = confirmedAtMs;
        board.endpoints.get("e").add(task);
        board.endpoints.get("e").extendLease(board.now, LeaseController.LEASE_MS);
        return task;
    }

    private void answer(PoolEffect.RenewLeases renewal, long clockMs, long incarnation) {
        leases.onLeaseRenewalEnded(new PoolEvent.LeaseRenewalEnded(
                renewal, new LeaseRenewalResult.Held(clockMs, incarnation, List.of(), List.of())));
    }

    /**
     * Guards against a second run: a start names only the endpoint's identifier, so that an endpoint that has restarted may
     * carry it out after it has listed its runs, and the answer to the start may overtake the list.
     */
    @Test
    public void aRestartEndsOnlyRunsThatWereConfirmedBeforeTheListWasRequested() {
        answer(lastRenewal(), 90_000, 1);
        PoolEffect.RenewLeases renewal = lastRenewal();
        OwnedTask earlier = runningTask("job-1", renewal.sentAtMs() - 1);
        OwnedTask later = runningTask("job-2", renewal.sentAtMs());
        board.now += 20;
        answer(renewal, 15, 2);
        assertEquals(listener.lost, List.of(earlier));
        leases.onTick();
        assertEquals(listener.lost, List.of(earlier));
        board.now += 20;
        answer(lastRenewal(), 35, 2);
        assertEquals(listener.lost, List.of(earlier, later));
    }

    /** Guards against a second run: the endpoint has forgotten the stop and may carry out the start later. */
    @Test
    public void stopsAreRepeatedAfterARestart() {
        answer(lastRenewal(), 90_000, 1);
        OwnedTask task = runningTask("job-1", board.now);
        task.job.set(task, OwnedTask.State.STOPPING);
        task.stopAccepted = true;
        board.now += 20;
        effects.clear();
        leases.onTick();
        answer(new PoolEffect.RenewLeases(ENDPOINT, 7, board.now, 0, 90_900, 0), 15, 2);
        assertEquals(listener.lost, List.of());
        assertFalse(task.stopAccepted);
        assertTrue(effects.contains(new PoolEffect.Stop(ENDPOINT, 7, task.run())));
    }

    @Test
    public void listsOfAnEarlierIncarnationAreIgnored() {
        PoolEffect.RenewLeases outdated = lastRenewal();
        board.now += 20;
        answer(new PoolEffect.RenewLeases(ENDPOINT, 7, board.now, 0, -1, 0), 15, 2);
        OwnedTask task = runningTask("job-1", outdated.sentAtMs() - 1);
        answer(outdated, 90_000, 1);
        assertEquals(listener.lost, List.of());
        assertEquals(board.endpoints.get("e").incarnation, 2);
        assertEquals(task.state, OwnedTask.State.RUNNING);
    }

    /** Guards against lost ends: an endpoint that has restarted would discard its ends up to an old sequence number. */
    @Test
    public void aRenewalAfterAFailedOneAcknowledgesNoEnds() {
        listEnd(5, "job-1");
        assertEquals(lastRenewal().acknowledgedSequence(), 5);
        leases.onLeaseRenewalEnded(
                new PoolEvent.LeaseRenewalEnded(lastRenewal(), new LeaseRenewalResult.Unanswered("connection reset")));
        board.now += 100;
        leases.onTick();
        assertEquals(lastRenewal().acknowledgedSequence(), 0);
    }

    /**
     * Guards against a second run: the owner of a zone may have started runs at the endpoint between two tokens of this
     * owner. They must expire while the endpoint's answers are lost, since their tasks are started elsewhere after 1.6 s.
     */
    @Test
    public void leasesAreNotExtendedUnderANewTokenBeforeTheEndpointHasListedItsRuns() {
        answer(lastRenewal(), 90_000, 1);
        runningTask("job-1", board.now);
        PoolEffect.RenewLeases open = lastRenewal();
        board.now += 100;
        board.token = 8;
        board.ownerSinceMs = board.now;
        leases.onOwnershipBegan();
        for (int i = 0; i < 3; i++) {
            leases.onLeaseRenewalEnded(
                    new PoolEvent.LeaseRenewalEnded(open, new LeaseRenewalResult.Unanswered("no answer in time")));
            board.now += 100;
            leases.onTick();
            open = lastRenewal();
            assertEquals(open.token(), 8);
            assertEquals(open.deadlineMs(), PoolEffect.RenewLeases.NO_DEADLINE);
        }
    }

    /** Guards against jobs that are never answered: an endpoint that is lost for good answers no renewal. */
    @Test
    public void runsOfAnEndpointThatNoLongerAnswersAreOverAfterTheLastLeaseThatMayHaveArrived() {
        answer(lastRenewal(), 90_000, 1);
        OwnedTask task = runningTask("job-1", board.now);
        task.job.awaitedUntilMs = Long.MAX_VALUE / 4;
        long answeredMs = board.now;
        while (listener.lost.isEmpty() && board.now < answeredMs + 10_000) {
            PoolEffect.RenewLeases open = lastRenewal();
            board.now += open.waitMs() + 300;
            leases.onLeaseRenewalEnded(
                    new PoolEvent.LeaseRenewalEnded(open, new LeaseRenewalResult.Unanswered("no answer in time")));
            for (int i = 0; i < 4; i++) {
                board.now += 20;
                leases.onTick();
            }
        }
        assertEquals(listener.lost, List.of(task));
        assertTrue(board.now - answeredMs <= 4_000, "lost after " + (board.now - answeredMs) + " ms");
    }

    private static final class RecordingListener implements LeaseController.RunListener {

        private final List<OwnedTask> lost = new ArrayList<>();

        @Override
        public void onRunListed(OwnedTask task, int percent, long clockMs) {}

        @Override
        public void onRunEnded(OwnedTask task, RunEnd.Cause cause) {}

        @Override
        public void onRunLost(OwnedTask task, String why) {
            lost.add(task);
            task.endpoint.remove(task);
        }

        @Override
        public boolean onOrphanRunDone(RunId run) {
            return false;
        }

        @Override
        public void onFenced() {}
    }
}
