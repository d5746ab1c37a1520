package org.gooseberrypier.server;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.server.testing.TestVm;
import org.gooseberrypier.server.testing.Waiting;
import org.gooseberrypier.standin.endpoint.TaskRunner;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class KilledVmTest {

    private static final long RUN_MS = 1_500;

    private final Map<String, Integer> starts = new ConcurrentHashMap<>();
    private final TaskRunner counting = (job, task, body) -> {
        starts.merge(job + " " + task, 1, Integer::sum);
        return new TaskRunner.Run(RUN_MS, body);
    };

    @Test
    public void aResubmissionToAnotherVmJoinsTheRunningJob() {
        try (TestVm zone = new TestVm(s -> {})) {
            EntryVm bea = zone.openPeer("bea");
            zone.publishTicketWithEndpoints(1, 8, counting);
            Map<String, String> key = key();
            awaitKeyedService(zone);
            starts.clear();
            CompletableFuture<HttpReply> first = zone.call("POST", "/v1/jobs", key, TestVm.job(3));
            Waiting.until("the tasks run", () -> starts.size() == 3);
            CompletableFuture<HttpReply> second = zone.call(bea, "POST", "/v1/jobs", key, TestVm.job(3));
            HttpReply a = TestVm.await(first);
            HttpReply b = TestVm.await(second);
            assertEquals(a.status(), 200, a.text());
            assertEquals(b.status(), 200, b.text());
            assertEquals(a.text(), b.text());
            assertEachStartedOnce();
        }
    }

    @Test
    public void aJobWhoseVmIsKilledAfterItsStartIsNotStartedAgain() {
        try (TestVm zone = new TestVm(s -> {})) {
            EntryVm bea = zone.openPeer("bea");
            zone.publishTicketWithEndpoints(1, 8, counting);
            awaitKeyedService(zone);
            starts.clear();
            Map<String, String> key = key();
            zone.call("POST", "/v1/jobs", key, TestVm.job(3));
            Waiting.until("the tasks run", () -> starts.size() == 3);
            zone.vm().close();
            HttpReply again = TestVm.await(zone.call(bea, "POST", "/v1/jobs", key, TestVm.job(3)));
            boolean whole = again.status() == 200;
            boolean unknown = again.status() == 504 && again.text().contains("\"outcome\":\"unknown\"");
            assertTrue(whole || unknown, again.status() + " " + again.text());
            assertEachStartedOnce();
        }
    }

    /** Waits until the zone runs keyed jobs. */
    private static void awaitKeyedService(TestVm zone) {
        Waiting.until(
                "keyed jobs run",
                () -> TestVm.await(zone.call("POST", "/v1/jobs", key(), TestVm.job(1)))
                                .status()
                        == 200);
    }

    private void assertEachStartedOnce() {
        assertTrue(starts.values().stream().allMatch(n -> n == 1), starts.toString());
    }

    private static Map<String, String> key() {
        return Map.of(
                "Idempotency-Key",
                "k-" + System.nanoTime(),
                "Submission-Time",
                Long.toString(System.currentTimeMillis()),
                "Home-Zone",
                "tartu-a");
    }
}
