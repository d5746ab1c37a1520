package org.gooseberrypier.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.NotSentException;
import org.gooseberrypier.server.testing.TestVm;
import org.gooseberrypier.server.testing.Waiting;
import org.gooseberrypier.standin.endpoint.TaskRunner;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class GracefulStopTest {

    @Test
    public void aStopUnderLoadInterruptsNoRequestInFlight() throws Exception {
        AtomicInteger started = new AtomicInteger();
        TaskRunner slow = (job, task, body) -> {
            started.incrementAndGet();
            return new TaskRunner.Run(300, body);
        };
        try (TestVm vm = new TestVm(s -> {}).publishTicketWithEndpoints(4, 8, slow)) {
            List<CompletableFuture<HttpReply>> submitted = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                submitted.add(vm.call("POST", "/v1/jobs", Map.of(), TestVm.job(8)));
            }
            Waiting.until("tasks run", () -> started.get() >= 32);
            CompletableFuture<Void> ended = vm.vm().stop();
            Waiting.until("the VM is not ready", () -> vm.operator("/ready").status() == 503);
            HttpReply refused = vm.submit(TestVm.job(1));
            assertEquals(refused.status(), 503, refused.text());
            assertTrue(refused.text().contains("\"outcome\":\"not-run\""), refused.text());
            for (CompletableFuture<HttpReply> r : submitted) {
                assertCompleteOrNotRun(TestVm.await(r));
            }
            ended.get(20, TimeUnit.SECONDS);
            assertTrue(started.get() >= 32);
            assertNotListening(vm);
        }
    }

    @Test
    public void anIdleVmStops() throws Exception {
        try (TestVm vm = new TestVm(s -> {})
                .publishTicketWithEndpoints(1, 8, (job, task, body) -> new TaskRunner.Run(1, body))) {
            assertEquals(vm.submit(TestVm.job(2)).status(), 200);
            vm.vm().stop().get(20, TimeUnit.SECONDS);
            assertNotListening(vm);
        }
    }

    @Test
    public void aVmWithoutATicketStops() throws Exception {
        try (TestVm vm = new TestVm(s -> {})) {
            vm.vm().stop().get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    public void runningTaskDoesNotDelayTheStopBeyondItsTimeout() throws Exception {
        TaskRunner endless = (job, task, body) -> new TaskRunner.Run(60_000, body);
        try (TestVm vm = new TestVm(s -> s.set("stop", "workTimeoutMs", 300).set("stop", "flushTimeoutMs", 300))
                .publishTicketWithEndpoints(1, 8, endless)) {
            CompletableFuture<HttpReply> job = vm.call("POST", "/v1/jobs", Map.of(), TestVm.job(1));
            Waiting.until("the task runs", () -> vm.endpoints().get(0).runningTasks() == 1);
            vm.vm().stop().get(20, TimeUnit.SECONDS);
            assertTrue(job.isDone() || job.handle((r, e) -> true).get(20, TimeUnit.SECONDS));
        }
    }

    /** Asserts that a job was answered with all results, or was refused before any task ran. */
    private static void assertCompleteOrNotRun(HttpReply reply) {
        if (reply.status() == 200) {
            for (int i = 0; i < 8; i++) {
                assertTrue(reply.text().contains("{\"id\":\"t" + i + "\",\"body\":\"" + i + "\"}"), reply.text());
            }
        } else {
            assertEquals(reply.status(), 503, reply.text());
            assertTrue(reply.text().contains("\"outcome\":\"not-run\""), reply.text());
        }
    }

    private static void assertNotListening(TestVm vm) throws Exception {
        try {
            HttpReply reply =
                    vm.call("POST", "/v1/jobs", Map.of(), TestVm.job(1)).get(20, TimeUnit.SECONDS);
            throw new AssertionError("VM answered after it stopped: " + reply.status());
        } catch (ExecutionException e) {
            assertTrue(e.getCause() instanceof NotSentException, e.toString());
        }
    }
}
