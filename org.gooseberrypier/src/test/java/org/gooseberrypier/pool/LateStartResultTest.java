package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Replays the end of a job whose caller left while a start was open, and the submission of the same job again. The number of
 * an attempt is used again by it, so that a result must not be matched to a run by that number alone.
 */
public class LateStartResultTest {

    private static final VmIncarnation SELF = new VmIncarnation("10.0.0.1:1", "zone-a", 1, 1_000);
    private static final PoolJob JOB = PoolJobs.patientJob("job-1", 1, 300);

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolCore core;
    private long nowMs;

    private static PoolEndpoint endpoint(String id, boolean draining) {
        return new PoolEndpoint(id, id + ":1", "zone-a", "service", List.of("a"), 16_000, 65_536, draining);
    }

    @BeforeMethod
    public void ownThreeEndpoints() {
        effects.clear();
        nowMs = 100_000;
        core = new PoolCore(SELF, 3, nowMs, effects::add);
        handle(new PoolEvent.OwnershipRead(1, Optional.of(new Ownership(0, SELF)), nowMs));
        handle(new PoolEvent.EndpointsRead(
                List.of(endpoint("a", false), endpoint("b", false), endpoint("c", false)), nowMs));
        handle(new PoolEvent.Tick());
        answerRenewals();
    }

    private void handle(PoolEvent event) {
        core.handle(event, ++nowMs);
    }

    /** Answers the newest renewal of each endpoint: nothing runs there. */
    private void answerRenewals() {
        for (PoolEffect.RenewLeases r : renewals()) {
            handle(new PoolEvent.LeaseRenewalEnded(
                    r, new LeaseRenewalResult.Held(nowMs - 50_000, 7, List.of(), List.of())));
        }
    }

    private List<PoolEffect.RenewLeases> renewals() {
        List<PoolEffect.RenewLeases> newest = new ArrayList<>();
        for (PoolEffect e : effects) {
            if (e instanceof PoolEffect.RenewLeases r) {
                newest.removeIf(n -> n.endpoint().id().equals(r.endpoint().id()));
                newest.add(r);
            }
        }
        return newest;
    }

    private <T extends PoolEffect> List<T> sent(Class<T> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Starts the task at one endpoint, ends the job, and starts the task of the same job at another endpoint. */
    private PoolEffect.Start submitTwice() {
        handle(new PoolEvent.JobSubmitted(1, JOB, PoolEvent.JobSubmitted.UNLIMITED));
        PoolEffect.Start first = sent(PoolEffect.Start.class).get(0);
        handle(new PoolEvent.CallerDisconnected(1));
        handle(new PoolEvent.StopEnded(sent(PoolEffect.Stop.class).get(0), true));
        answerRenewals();
        List<PoolEndpoint> listed = new ArrayList<>();
        for (String id : List.of("a", "b", "c")) {
            listed.add(endpoint(id, id.equals(first.endpoint().id())));
        }
        handle(new PoolEvent.EndpointsRead(listed, nowMs));
        handle(new PoolEvent.JobSubmitted(2, JOB, PoolEvent.JobSubmitted.UNLIMITED));
        answerRenewals();
        assertEquals(sent(PoolEffect.Start.class).size(), 2);
        return first;
    }

    @Test
    public void theLateRejectionOfAnEarlierStartDoesNotFreeTheTask() {
        PoolEffect.Start first = submitTwice();
        handle(new PoolEvent.StartEnded(first, StartResult.NO_ROOM));
        handle(new PoolEvent.Tick());
        assertEquals(sent(PoolEffect.Start.class).size(), 2, "starts " + sent(PoolEffect.Start.class));
    }

    @Test
    public void theLateSuccessOfAnEarlierStartDoesNotConfirmTheNextOne() {
        PoolEffect.Start first = submitTwice();
        handle(new PoolEvent.StartEnded(first, StartResult.STARTED));
        answerRenewals();
        answerRenewals();
        handle(new PoolEvent.Tick());
        assertEquals(sent(PoolEffect.Start.class).size(), 2, "starts " + sent(PoolEffect.Start.class));
    }
}
