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
            awaitKeyedJobs(zone);
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
            awaitKeyedJobs(zone);
            starts.clear();
            Map<String, String> key = key();
            zone.call("POST", "/v1/jobs", key, TestVm.job(3));
            Waiting.until("the tasks run", () -> starts.size() == 3);
            zone.vm().close();
            HttpReply resubmitted = TestVm.await(zone.call(bea, "POST", "/v1/jobs", key, TestVm.job(3)));
            boolean complete = resubmitted.status() == 200;
            boolean unknown = resubmitted.status() == 504 && resubmitted.text().contains("\"outcome\":\"unknown\"");
            assertTrue(complete || unknown, resubmitted.status() + " " + resubmitted.text());
            assertEachStartedOnce();
        }
    }

    /** Waits until the zone accepts jobs with an idempotency key. */
    private static void awaitKeyedJobs(TestVm zone) {
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
