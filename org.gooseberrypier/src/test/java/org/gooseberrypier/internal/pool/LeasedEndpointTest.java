package org.gooseberrypier.internal.pool;

import java.util.List;

import org.gooseberrypier.pool.PoolEndpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests what an owner knows of an endpoint's clock. */
public class LeasedEndpointTest {

    private static final long LEASE_MS = 900;

    private LeasedEndpoint endpoint;

    @BeforeMethod
    public void readFirstAnswer() {
        endpoint =
                new LeasedEndpoint(new PoolEndpoint("e", "10.0.0.1:1", "z", "s", List.of("a"), 16_000, 65_536, false));
        endpoint.setClock(51_000, 1_000, 1_000);
    }

    /** An answer that was given 10 ms after its call is read 400 ms later: the drift of that time alone is taken off. */
    @Test
    public void anAnswerThatIsReadLateDoesNotShortenLeases() {
        endpoint.setClock(51_010, 1_000, 1_400);
        assertEquals(endpoint.extendLease(1_400, LEASE_MS), 51_400 + LEASE_MS - 10);
    }

    /** Guards against leases that are taken for expired too early: the slowest clock loses 2 per cent. */
    @Test
    public void theClockIsNeverTakenToBeAheadOfTheSlowestOne() {
        for (long atMs = 1_300; atMs <= 61_000; atMs += 300) {
            long clockMs = 51_000 + (atMs - 1_000) * 98 / 100;
            endpoint.setClock(clockMs - 5, atMs - 300, atMs);
            long deadline = endpoint.extendLease(atMs, 0);
            assertTrue(deadline <= clockMs, "at " + atMs + ": " + deadline + " instead of " + clockMs);
            assertTrue(deadline >= clockMs - 10, "at " + atMs + ": " + deadline + " instead of " + clockMs);
        }
    }

    @Test
    public void aClockThatWasSetBackIsFollowedWithTheNextAnswer() {
        endpoint.setClock(46_300, 1_000, 1_300);
        long deadline = endpoint.extendLease(1_300, LEASE_MS);
        assertTrue(deadline <= 46_300 + 300 + LEASE_MS, "deadline " + deadline);
    }

    @Test
    public void leasesAreTakenForExpiredOnlyAfterTheDrift() {
        long deadline = endpoint.extendLease(1_000, LEASE_MS);
        assertEquals(deadline, 51_900);
        assertFalse(endpoint.isLeaseExpired(1_950));
        assertTrue(endpoint.isLeaseExpired(1_960));
    }
}
