package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Replays the load of a new owner after a restart of all VMs: many jobs wait when all endpoints answer at the same time.
 */
public class PoolBatchTest {

    private static final VmIncarnation SELF = new VmIncarnation("10.0.0.1:1", "zone-a", 1, 1_000);
    private static final int ENDPOINTS = 33;
    private static final int JOBS = 60;
    private static final long NOW_MS = 1_000;

    private final List<PoolEffect> effects = new ArrayList<>();
    private PoolCore core;

    @BeforeMethod
    public void becomeOwnerWithWaitingJobs() {
        effects.clear();
        core = new PoolCore(SELF, 3, 0, effects::add);
        core.handle(new PoolEvent.OwnershipRead(0, Optional.empty(), 0), 500);
        core.handle(new PoolEvent.Tick(), NOW_MS);
        core.handle(new PoolEvent.ClaimEnded(SELF, new ClaimResult.Accepted(0)), NOW_MS);
        List<PoolEndpoint> list = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            String address = "10.1.0." + i + ":1";
            list.add(new PoolEndpoint(
                    "e-" + i, address, "zone-a", "service", List.of("a", "r1"), 16_000, 65_536, false));
        }
        core.handle(new PoolEvent.EndpointsRead(list, NOW_MS), NOW_MS);
        core.handle(new PoolEvent.Tick(), NOW_MS + 20);
        for (int i = 0; i < JOBS; i++) {
            core.handle(
                    new PoolEvent.JobSubmitted(i, PoolJobs.job("job-" + i, 1, 200), PoolEvent.JobSubmitted.UNLIMITED),
                    NOW_MS + 21);
        }
    }

    private List<PoolEvent> renewalAnswers() {
        List<PoolEvent> answers = new ArrayList<>();
        for (PoolEffect e : effects) {
            if (e instanceof PoolEffect.RenewLeases r) {
                LeaseRenewalResult held = new LeaseRenewalResult.Held(5_000, 1, List.of(), List.of());
                answers.add(new PoolEvent.LeaseRenewalEnded(r, held));
            }
        }
        return answers;
    }

    private Set<String> endpointsWithStarts() {
        Set<String> endpoints = new HashSet<>();
        for (PoolEffect e : effects) {
            if (e instanceof PoolEffect.Start s) {
                endpoints.add(s.endpoint().id());
            }
        }
        return endpoints;
    }

    @Test
    public void tasksArePlacedOnceAllAnswersThatWaitedAreHandled() {
        List<PoolEvent> answers = renewalAnswers();
        assertEquals(answers.size(), ENDPOINTS);
        for (PoolEvent a : answers.subList(0, ENDPOINTS - 1)) {
            core.handle(a, NOW_MS + 50, true);
        }
        assertEquals(endpointsWithStarts(), Set.of(), "placed before the last answer");
        core.handle(answers.get(ENDPOINTS - 1), NOW_MS + 50, false);
        assertTrue(endpointsWithStarts().size() > ENDPOINTS / 2, "placed on " + endpointsWithStarts());
    }

    @Test
    public void tickBoundsTheDeferralOfPlacement() {
        List<PoolEvent> answers = renewalAnswers();
        core.handle(answers.get(0), NOW_MS + 50, true);
        core.handle(new PoolEvent.Tick(), NOW_MS + 55, true);
        assertEquals(endpointsWithStarts().size(), 1);
    }
}
