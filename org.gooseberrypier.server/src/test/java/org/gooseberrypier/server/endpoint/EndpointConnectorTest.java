package org.gooseberrypier.server.endpoint;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.http.HttpHandler;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpServer;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.TaskRef;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.server.testing.TcpForwarder;
import org.gooseberrypier.server.testing.TestSettings;
import org.gooseberrypier.server.testing.Waiting;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.Ticket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

public class EndpointConnectorTest {

    private static final EndpointId ENDPOINT = new EndpointId("e1");

    private final BlockingQueue<EndpointEvent> events = new LinkedBlockingQueue<>();
    private final List<HttpCall> calls = new CopyOnWriteArrayList<>();
    private EventLoopGroup group;
    private EndpointConnector connector;

    @BeforeMethod
    public void setUp() {
        events.clear();
        calls.clear();
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        connector = new EndpointConnector(
                events::add,
                group,
                TestSettings.builder()
                        .set("endpoints", "probeTimeoutMs", 200)
                        .set("endpoints", "maxIdleMs", 60_000)
                        .build()
                        .endpoints(),
                new SimpleMeterRegistry());
    }

    @AfterMethod
    public void tearDown() {
        connector.close();
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @DataProvider
    public Object[][] replies() {
        return new Object[][] {
            {HttpReply.text(200, "text/plain", "r"), new TaskReply.Succeeded(Payload.of("r"))},
            {HttpReply.text(500, "text/plain", "it\nfailed\n"), new TaskReply.Failed(500, "it failed")},
            {HttpReply.text(503, "text/plain", "busy"), new TaskReply.Failed(503, "busy")},
            {
                new HttpReply(503, Map.of("Outcome", "not-run"), new byte[0]),
                new TaskReply.NotStarted("the endpoint refused the task")
            },
            {new HttpReply(500, Map.of("Outcome", "not-run"), new byte[0]), new TaskReply.Failed(500, "")},
            {
                new HttpReply(200, Map.of("Task-Id", "other"), new byte[0]),
                new TaskReply.Lost("the endpoint answered for another task")
            },
        };
    }

    @Test(dataProvider = "replies")
    public void mapsEndpointRepliesToTaskReplies(HttpReply reply, TaskReply expected) throws Exception {
        try (HttpServer server = open(call -> call.reply(reply))) {
            connector.start(task(1, server.address(), 10_000));
            assertEquals(next(), new EndpointEvent.Replied(1, expected));
        }
    }

    @Test
    public void sendsTaskIdJobIdAndRemainingTime() throws Exception {
        try (HttpServer server = open(calls::add)) {
            connector.start(task(1, server.address(), 10_000));
            Waiting.until("the task", () -> calls.size() == 1);
            HttpCall call = calls.get(0);
            assertEquals(call.method() + " " + call.target(), "POST /v1/tasks/verify%20it");
            assertEquals(call.header("Task-Id").orElse(""), "t1");
            assertEquals(call.header("Job-Id").orElse(""), "n/ada/7/1");
            long remainingMs = Long.parseLong(call.header("Deadline-Ms").orElse("0"));
            assertTrue(remainingMs > 0 && remainingMs <= 10_000);
        }
    }

    @Test
    public void refusedConnectionAndPassedDeadlineAreReportedAsNotStarted() throws Exception {
        HostPort unusedAddress;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            unusedAddress = new HostPort("127.0.0.1", socket.getLocalPort());
        }
        connector.start(task(1, unusedAddress, 10_000));
        assertTrue(reply() instanceof TaskReply.NotStarted);
        connector.start(task(2, unusedAddress, -1));
        assertEquals(reply(), new TaskReply.NotStarted("the deadline has passed"));
    }

    @Test
    public void aTaskWithoutAnAnswerIsLostAtItsDeadline() throws Exception {
        try (HttpServer server = open(calls::add)) {
            connector.start(task(1, server.address(), 200));
            assertTrue(reply() instanceof TaskReply.Lost);
            assertEquals(calls.size(), 1);
        }
    }

    @Test
    public void cancelNamesTheTaskAndTheAttemptEndsByItself() throws Exception {
        try (HttpServer server = open(calls::add)) {
            connector.start(task(1, server.address(), 10_000));
            Waiting.until("the task", () -> calls.size() == 1);
            connector.cancel(new Effect.CancelTask(1));
            Waiting.until("the cancellation", () -> calls.size() == 2);
            HttpCall cancel = calls.get(1);
            assertEquals(cancel.method() + " " + cancel.target(), "DELETE /v1/tasks/verify%20it");
            assertEquals(cancel.header("Task-Id").orElse(""), "t1");
            assertEquals(cancel.header("Job-Id").orElse(""), "n/ada/7/1");
            cancel.reply(HttpReply.text(200, "text/plain", "stopped"));
            calls.get(0).reply(HttpReply.text(409, "text/plain", "cancelled"));
            assertEquals(next(), new EndpointEvent.Replied(1, new TaskReply.Failed(409, "cancelled")));
        }
    }

    @Test
    public void aProbeReportsWhetherTheEndpointAnswers() throws Exception {
        try (HttpServer server = open(call -> call.reply(HttpReply.text(200, "text/plain", "ok")))) {
            connector.probe(new Effect.ProbeEndpoint(ENDPOINT, server.address().toString()));
            assertEquals(next(), new EndpointEvent.Probed(ENDPOINT, true));
        }
        try (HttpServer silent = open(calls::add)) {
            connector.probe(new Effect.ProbeEndpoint(ENDPOINT, silent.address().toString()));
            assertEquals(next(), new EndpointEvent.Probed(ENDPOINT, false));
        }
    }

    @Test
    public void aProbeReplacesASilentConnectionForTheNextTask() throws Exception {
        try (HttpServer server = open(call -> call.reply(HttpReply.text(200, "text/plain", "ok")));
                TcpForwarder forwarder = new TcpForwarder(server.address())) {
            connector.start(task(1, forwarder.address(), 10_000));
            assertTrue(reply() instanceof TaskReply.Succeeded);
            forwarder.silenceOpenConnections();
            connector.probe(
                    new Effect.ProbeEndpoint(ENDPOINT, forwarder.address().toString()));
            assertEquals(next(), new EndpointEvent.Probed(ENDPOINT, true));
            connector.start(task(2, forwarder.address(), 10_000));
            assertTrue(reply() instanceof TaskReply.Succeeded);
            assertEquals(forwarder.accepted(), 2);
        }
    }

    @Test
    public void connectionsAreLimitedByTheTicketAndClosedWhenTheEndpointIsRemoved() throws Exception {
        try (HttpServer server = open(calls::add)) {
            connector.applyConfiguration(configuration(server.address(), 2));
            for (int i = 1; i <= 5; i++) {
                connector.start(task(i, server.address(), 10_000));
            }
            Waiting.until("two tasks", () -> calls.size() == 2);
            assertEquals(server.connections(), 2);
            for (int i = 0; i < 5; i++) {
                int number = i;
                Waiting.until("another task", () -> calls.size() > number);
                calls.get(i).reply(HttpReply.text(200, "text/plain", "ok"));
                assertTrue(reply() instanceof TaskReply.Succeeded);
            }
            assertEquals(server.connections(), 2);
            connector.applyConfiguration(Configuration.NONE);
            Waiting.until("all connections are closed", () -> server.connections() == 0);
        }
    }

    private HttpServer open(HttpHandler handler) {
        return HttpServer.builder(group, handler).open(new HostPort("127.0.0.1", 0));
    }

    private EndpointEvent next() throws InterruptedException {
        EndpointEvent event = events.poll(20, TimeUnit.SECONDS);
        assertNotNull(event, "an event within 20 s");
        return event;
    }

    private TaskReply reply() throws InterruptedException {
        return ((EndpointEvent.Replied) next()).reply();
    }

    private static Effect.StartTask task(long attempt, HostPort address, long remainingMs) {
        return new Effect.StartTask(
                attempt,
                ENDPOINT,
                address.toString(),
                new WorkId("verify it"),
                new TaskRef(new JobId("n/ada/7/1"), 0),
                new TaskSpec("t1", Payload.of("body"), 0, Resources.NONE),
                System.currentTimeMillis() + remainingMs);
    }

    private static Configuration configuration(HostPort address, int connections) {
        EndpointSpec spec = new EndpointSpec(
                ENDPOINT,
                new ZoneId("tartu-a"),
                address.toString(),
                Set.of(new WorkId("verify it")),
                8,
                connections,
                Optional.empty(),
                false);
        Ticket ticket = new Ticket(
                1,
                "u",
                "author",
                "reason",
                Optional.empty(),
                Optional.of(List.of(spec)),
                Optional.empty(),
                Optional.empty());
        return Configuration.NONE.apply(ticket, 0, 0);
    }
}
