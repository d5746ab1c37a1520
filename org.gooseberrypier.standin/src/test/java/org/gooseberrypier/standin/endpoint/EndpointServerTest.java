package org.gooseberrypier.standin.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpRequestSpec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

public class EndpointServerTest {

    private static final long TIMEOUT_MS = 10_000;

    private final List<TaskStart> starts = new CopyOnWriteArrayList<>();
    private EventLoopGroup group;
    private HttpClient client;
    private EndpointServer server;

    @BeforeMethod
    public void open() {
        starts.clear();
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        client = HttpClient.builder(group).build();
        server = EndpointServer.builder(group)
                .name("e1")
                .slots(1)
                .listener(starts::add)
                .open(HostPort.parse("127.0.0.1:0"));
    }

    @AfterMethod
    public void close() {
        client.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    public void resultNamesJobAndTask() throws Exception {
        HttpReply reply = get(post(new TaskBody(1, "job-a", 3, false)));
        assertEquals(reply.status(), 200);
        assertEquals(reply.text(), "done;job-a;3;1");
        assertEquals(starts.size(), 1);
        assertEquals(starts.get(0).body(), new TaskBody(1, "job-a", 3, false));
    }

    @Test
    public void taskIsNotRunWhenNoSlotIsFree() throws Exception {
        var first = post(new TaskBody(500, "job-a", 0, false));
        HttpReply second = get(post(new TaskBody(1, "job-a", 1, false)));
        assertEquals(second.status(), 503);
        assertEquals(second.header("Outcome"), Optional.of("not-run"));
        assertEquals(get(first).status(), 200);
        assertEquals(starts.size(), 1);
    }

    @Test(timeOut = TIMEOUT_MS)
    public void deleteCancelsARunningTask() throws Exception {
        var running = post(new TaskBody(9_000, "job-a", 0, false));
        HttpReply stopped;
        do {
            stopped = get(send("DELETE", "job-a", 0, new byte[0]));
        } while (stopped.status() != 200);
        assertEquals(get(running).header("Outcome"), Optional.of("cancelled"));
        assertEquals(server.runningTasks(), 0);
    }

    @Test
    public void failModeStartsTheTaskAndFailsIt() throws Exception {
        server.setMode(FailureMode.FAIL);
        assertEquals(get(post(new TaskBody(1, "job-a", 0, false))).status(), 500);
        assertEquals(starts.size(), 1);
        assertEquals(server.runningTasks(), 0);
    }

    @Test
    public void refuseModeStartsNoTask() throws Exception {
        server.setMode(FailureMode.REFUSE);
        assertEquals(get(post(new TaskBody(1, "job-a", 0, false))).status(), 503);
        assertEquals(starts, List.of());
    }

    @Test
    public void silentModeKeepsTheConnectionOpen() throws Exception {
        server.setMode(FailureMode.SILENT);
        CompletableFuture<HttpReply> silent = post(new TaskBody(1, "job-a", 0, false));
        assertEquals(
                get(client.send(server.address(), HttpRequestSpec.get("/v1/health", TIMEOUT_MS)))
                        .status(),
                200);
        assertFalse(silent.isDone());
    }

    @Test
    public void taskDurationFollowsTheEndpointSpeed() {
        assertEquals(new TimedRunner(2).start("j", "0", bytes("100;j;0;once")).durationMs(), 50);
        assertEquals(new TimedRunner(0.5).start("j", "0", bytes("100;j;0;once")).durationMs(), 200);
    }

    private CompletableFuture<HttpReply> post(TaskBody body) {
        return send("POST", body.job(), body.index(), bytes(body.format()));
    }

    private CompletableFuture<HttpReply> send(String method, String job, int index, byte[] body) {
        var headers = Map.of("Job-Id", job, "Task-Id", "t" + index);
        return client.send(
                server.address(), new HttpRequestSpec(method, "/v1/tasks/verify-citation", headers, body, TIMEOUT_MS));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static HttpReply get(CompletableFuture<HttpReply> reply) throws Exception {
        return reply.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
