package org.gooseberrypier.server;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.server.testing.TestVm;
import org.gooseberrypier.server.testing.Waiting;
import org.gooseberrypier.standin.endpoint.FailureMode;
import org.gooseberrypier.standin.endpoint.TaskRunner;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class EntryVmTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final TaskRunner ECHO = (job, task, body) -> new TaskRunner.Run(5, body);

    @Test
    public void aJobIsAnsweredWithAllResultsInTaskOrder() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        TaskRunner uneven = (job, task, body) -> new TaskRunner.Run(runs.incrementAndGet() * 7L % 40, body);
        try (TestVm vm = new TestVm(s -> {}).publishTicketWithEndpoints(3, 8, uneven)) {
            HttpReply reply = vm.submit(TestVm.job(100));
            assertEquals(reply.status(), 200, reply.text());
            JsonNode results = MAPPER.readTree(reply.body()).path("results");
            assertEquals(results.size(), 100);
            for (int i = 0; i < 100; i++) {
                assertEquals(results.get(i).path("id").textValue(), "t" + i);
                assertEquals(results.get(i).path("body").textValue(), Integer.toString(i));
            }
        }
    }

    @Test
    public void bytesThatAreNotUtf8AreReturnedAsBase64() throws Exception {
        byte[] bytes = {(byte) 0xff, 0, 1, (byte) 0xc3};
        try (TestVm vm = new TestVm(s -> {}).publishTicketWithEndpoints(1, 8, ECHO)) {
            String encoded = Base64.getEncoder().encodeToString(bytes);
            HttpReply reply = vm.submit("{\"team\":\"koda\",\"work\":\"verify\",\"deadlineMs\":15000,"
                    + "\"tasks\":[{\"id\":\"a\",\"bodyBase64\":\"" + encoded + "\"}]}");
            JsonNode result = MAPPER.readTree(reply.body()).path("results").path(0);
            assertEquals(result.path("bodyBase64").textValue(), encoded, reply.text());
        }
    }

    @Test
    public void aRequestIsPassedThrough() {
        try (TestVm vm = new TestVm(s -> {}).publishTicketWithEndpoints(1, 8, ECHO)) {
            Map<String, String> headers = Map.of("Team", "koda", "Deadline-Ms", "15000");
            HttpReply reply = TestVm.await(vm.call("POST", "/v1/requests/verify", headers, "{\"any\": body}"));
            assertEquals(reply.status(), 200, reply.text());
            assertEquals(reply.text(), "{\"any\": body}");
            assertEquals(reply.header("Outcome").orElse(""), "complete");
        }
    }

    @Test
    public void withoutATicketNothingRunsAndTheVmIsNotReady() throws Exception {
        try (TestVm vm = new TestVm(s -> {})) {
            assertEquals(vm.operator("/live").status(), 200);
            assertEquals(vm.operator("/ready").status(), 503);
            HttpReply reply = vm.submit(TestVm.job(1));
            assertEquals(reply.status(), 503);
            assertEquals(reply.header("content-type").orElse(""), "application/problem+json");
            assertTrue(Integer.parseInt(reply.header("Retry-After").orElse("0")) >= 1);
            JsonNode problem = MAPPER.readTree(reply.body());
            assertEquals(problem.path("outcome").textValue(), "not-run");
            assertEquals(problem.path("next").textValue(), "submit-anew-later");
        }
    }

    @Test
    public void aTaskThatFailsFailsTheWholeJob() throws Exception {
        try (TestVm vm = new TestVm(s -> {}).publishTicketWithEndpoints(1, 8, ECHO)) {
            vm.endpoints().get(0).setMode(FailureMode.FAIL);
            HttpReply reply = vm.submit(TestVm.job(3));
            assertEquals(reply.status(), 502, reply.text());
            assertEquals(MAPPER.readTree(reply.body()).path("outcome").textValue(), "failed");
        }
    }

    @Test
    public void answersOutOfOrderReachTheirOwnCallers() {
        TaskRunner uneven = (job, task, body) ->
                new TaskRunner.Run(Integer.parseInt(new String(body, StandardCharsets.UTF_8)) * 13L % 50, body);
        try (TestVm vm = new TestVm(s -> {}).publishTicketWithEndpoints(4, 8, uneven)) {
            Map<String, String> headers = Map.of("Team", "koda", "Deadline-Ms", "15000");
            var replies = new java.util.ArrayList<java.util.concurrent.CompletableFuture<HttpReply>>();
            for (int i = 0; i < 200; i++) {
                replies.add(vm.call("POST", "/v1/requests/verify", headers, Integer.toString(i)));
            }
            for (int i = 0; i < 200; i++) {
                HttpReply reply = TestVm.await(replies.get(i));
                assertEquals(reply.status(), 200, reply.text());
                assertEquals(reply.text(), Integer.toString(i));
            }
        }
    }

    @Test
    public void eachTaskOfManyJobsStartsOnce() {
        Map<String, Integer> starts = new ConcurrentHashMap<>();
        TaskRunner counting = (job, task, body) -> {
            starts.merge(job + " " + task, 1, Integer::sum);
            return new TaskRunner.Run(3, body);
        };
        try (TestVm vm = new TestVm(s -> {}).publishTicketWithEndpoints(3, 4, counting)) {
            List<java.util.concurrent.CompletableFuture<HttpReply>> replies = new java.util.ArrayList<>();
            for (int i = 0; i < 20; i++) {
                replies.add(vm.call("POST", "/v1/jobs", Map.of(), TestVm.job(20)));
            }
            replies.forEach(r -> assertEquals(TestVm.await(r).status(), 200));
            assertEquals(starts.size(), 400);
            assertTrue(starts.values().stream().allMatch(n -> n == 1), starts.toString());
        }
    }

    @Test
    public void aDisconnectedCallerIsRemovedAndTheVmKeepsServing() throws Exception {
        TaskRunner slow = (job, task, body) -> new TaskRunner.Run(300, body);
        try (TestVm vm = new TestVm(s -> {}).publishTicketWithEndpoints(1, 8, slow)) {
            String job = TestVm.job(1);
            try (Socket caller = new Socket("127.0.0.1", vm.vm().callerAddress().port())) {
                String request = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: " + job.length() + "\r\n\r\n";
                caller.getOutputStream().write((request + job).getBytes(StandardCharsets.US_ASCII));
                Waiting.until("the task runs", () -> vm.endpoints().get(0).runningTasks() == 1);
            }
            Waiting.until(
                    "the call is removed",
                    () -> vm.operator("/metrics").text().contains("gooseberrypier_caller_calls 0.0"));
            assertEquals(vm.submit(TestVm.job(2)).status(), 200);
        }
    }

    @Test
    public void operatorsSeeTicketMetricsAndAudit() throws Exception {
        try (TestVm vm = new TestVm(s -> s.set("audit", "flushMs", 20)).publishTicketWithEndpoints(1, 8, ECHO)) {
            vm.submit(TestVm.job(2));
            JsonNode ticket = MAPPER.readTree(vm.operator("/v1/ticket").body());
            assertEquals(ticket.path("number").intValue(), 1);
            assertEquals(ticket.path("uniqueId").textValue(), "u1");
            assertEquals(ticket.path("offset").intValue(), 0);
            assertEquals(ticket.path("endpoints").path(0).path("id").textValue(), "e0");
            String metrics = vm.operator("/metrics").text();
            assertTrue(metrics.contains("gooseberrypier_core_tasks_started_total 2.0"), metrics);
            assertTrue(metrics.contains("gooseberrypier_core_ticket_number 1.0"), metrics);
            JsonNode audit = MAPPER.readTree(vm.operator("/v1/audit").body());
            assertEquals(audit.path("entries").path(0).path("kind").textValue(), "TICKET_ACCEPTED");
            Waiting.until("the entry is in the log", () -> vm.store().read("audit", 0, 10).records().stream()
                    .anyMatch(r -> r.data().text().contains("TICKET_ACCEPTED")));
        }
    }
}
