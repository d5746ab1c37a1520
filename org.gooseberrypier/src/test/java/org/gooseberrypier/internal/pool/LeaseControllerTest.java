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
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests how long an owner keeps the ends of runs that an earlier owner started. */
public class LeaseControllerTest {

    private static final PoolEndpoint ENDPOINT =
            new PoolEndpoint("e", "10.0.0.1:1", "z", "s", List.of("a"), 16_000, 65_536, false);

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolBoard board;
    private LeaseController leases;

    @BeforeMethod
    public void begin() {
        effects.clear();
        board = new PoolBoard(new VmIncarnation("10.0.0.2:1", "z", 1, 1_000), effects::add);
        board.now = 1_000;
        board.ownerSinceMs = 1_000;
        board.role = OwnerRole.OWNER;
        board.token = 7;
        leases = new LeaseController(board, new IgnoringListener());
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
        leases.adopt(job);
        assertEquals(lastRenewal().deadlineMs(), 502 + LeaseController.LEASE_MS);
        assertEquals(lastRenewal().waitMs(), 0);
    }

    private static final class IgnoringListener implements LeaseController.RunListener {

        @Override
        public void onRunListed(OwnedTask task, int percent, long clockMs) {}

        @Override
        public void onRunEnded(OwnedTask task, RunEnd.Cause cause) {}

        @Override
        public void onRunLost(OwnedTask task, String why) {}

        @Override
        public boolean onOrphanRunDone(RunId run) {
            return false;
        }

        @Override
        public void onFenced() {}
    }
}
