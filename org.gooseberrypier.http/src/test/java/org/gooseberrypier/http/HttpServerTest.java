package org.gooseberrypier.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class HttpServerTest {

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    private final List<HttpCall> calls = new CopyOnWriteArrayList<>();
    private EventLoopGroup group;

    @BeforeMethod
    public void setUp() {
        calls.clear();
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterMethod
    public void tearDown() {
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    public void answersPipelinedRequestsInTheirOrder() throws Exception {
        try (HttpServer server = builder(calls::add).open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            client.write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            awaitCalls(2);
            calls.get(1).reply(HttpReply.text(200, "text/plain", "second"));
            calls.get(0).reply(HttpReply.text(200, "text/plain", "first"));
            String all = client.readAll();
            assertTrue(all.indexOf("first") > 0 && all.indexOf("first") < all.indexOf("second"), all);
        }
    }

    @Test
    public void answersPendingRequestsBeforeItRefusesMalformedBytes() throws Exception {
        try (HttpServer server = builder(calls::add).open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            client.write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n\u0001bad\r\n\r\n");
            awaitCalls(1);
            calls.get(0).reply(HttpReply.text(200, "text/plain", "first"));
            String all = client.readAll();
            assertTrue(all.startsWith("HTTP/1.1 200"), all);
            assertTrue(all.indexOf("first") < all.indexOf("HTTP/1.1 400"), all);
        }
    }

    @DataProvider
    public Object[][] refused() {
        String large = "x".repeat(3_000);
        return new Object[][] {
            {"header", "GET / HTTP/1.1\r\nHost: x\r\nBig: " + large + "\r\n\r\n", 431},
            {"line", "GET /" + "x".repeat(9_000) + " HTTP/1.1\r\nHost: x\r\n\r\n", 414},
            {"body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n" + large, 413},
            {
                "chunks",
                "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n" + large + "\r\n0\r\n\r\n",
                413
            },
            {"expected body", "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3000\r\n\r\n", 413
            },
            {"length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n", 400},
            {"chunk", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
        };
    }

    @Test(dataProvider = "refused")
    public void refusalsUseTheErrorFormatOfTheServer(String what, String request, int status) throws Exception {
        try (HttpServer server = builder(calls::add)
                        .maxHeaderBytes(2_000)
                        .maxBodyBytes(2_000)
                        .open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            String all = client.write(request).readAll();
            assertTrue(all.startsWith("HTTP/1.1 " + status), what + ": " + all);
            assertTrue(all.contains("formatted " + status), what + ": " + all);
            assertTrue(calls.isEmpty());
        }
    }

    @Test
    public void sends100ContinueBeforeTheBody() throws Exception {
        try (HttpServer server = builder(this::echo).open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            client.write("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
            assertTrue(client.readUntil("\r\n\r\n").startsWith("HTTP/1.1 100"));
            client.write("hi");
            assertTrue(client.readUntil("hi").startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void incompleteRequestIsRefusedAfterTheTimeout() throws Exception {
        try (HttpServer server = builder(calls::add).requestTimeoutMs(100).open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            String all = client.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345")
                    .readAll();
            assertTrue(all.startsWith("HTTP/1.1 408"), all);
        }
    }

    @Test
    public void slowHandlerDoesNotTriggerATimeout() throws Exception {
        try (HttpServer server = builder(calls::add)
                        .requestTimeoutMs(50)
                        .idleTimeoutMs(50)
                        .open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            awaitCalls(1);
            group.schedule(
                    () -> calls.get(0).reply(HttpReply.text(200, "text/plain", "late")), 300, TimeUnit.MILLISECONDS);
            assertTrue(client.readUntil("late").startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void idleConnectionIsClosedAfterTheTimeout() throws Exception {
        try (HttpServer server = builder(calls::add).idleTimeoutMs(50).open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            assertEquals(client.readAll(), "");
        }
    }

    @Test
    public void onlyTheConnectionOfAClientThatDoesNotReadIsClosed() throws Exception {
        byte[] large = new byte[16 << 20];
        HttpHandler handler = call -> call.reply(
                call.target().equals("/large")
                        ? new HttpReply(200, java.util.Map.of(), large)
                        : HttpReply.text(200, "text/plain", "small"));
        try (HttpServer server = builder(handler).writeTimeoutMs(100).open(ANY_PORT);
                RawClient slow = new RawClient(server.address());
                RawClient other = new RawClient(server.address())) {
            slow.write("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
            for (int i = 0; i < 10; i++) {
                other.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                assertTrue(other.readUntil("small").contains("200"));
            }
            await(() -> server.connections() == 1);
        }
    }

    @Test
    public void connectionsOverTheLimitAreClosed() throws Exception {
        try (HttpServer server = builder(this::echo).maxConnections(1).open(ANY_PORT);
                RawClient first = new RawClient(server.address())) {
            first.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok");
            first.readUntil("ok");
            try (RawClient second = new RawClient(server.address())) {
                assertEquals(second.readAll(), "");
            }
            first.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok");
            first.readUntil("ok");
        }
    }

    @Test
    public void requestOverTheBodyBudgetIsRefusedUntilAnotherIsAnswered() throws Exception {
        try (HttpServer server = builder(calls::add).maxBufferedBytes(10).open(ANY_PORT);
                RawClient first = new RawClient(server.address())) {
            first.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n12345678");
            awaitCalls(1);
            try (RawClient second = new RawClient(server.address())) {
                String all = second.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n12345678")
                        .readAll();
                assertTrue(all.startsWith("HTTP/1.1 503"), all);
            }
            calls.get(0).reply(HttpReply.text(200, "text/plain", "done"));
            first.readUntil("done");
            first.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n12345678");
            awaitCalls(2);
        }
    }

    @Test
    public void readingPausesAtThePipelineLimitAndAllRequestsAreAnswered() throws Exception {
        try (HttpServer server = builder(calls::add).requestTimeoutMs(200).open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            for (int i = 0; i < 100; i++) {
                client.write("GET /" + i + " HTTP/1.1\r\nHost: x\r\n\r\n");
            }
            awaitCalls(16);
            Thread.sleep(400);
            assertEquals(calls.size(), 16);
            for (int i = 0; i < 100; i++) {
                awaitCalls(i + 1);
                assertEquals(calls.get(i).target(), "/" + i);
                calls.get(i).reply(HttpReply.text(200, "text/plain", "answer-" + i + ";"));
            }
            client.readUntil("answer-99;");
        }
    }

    @Test
    public void runsTheDisconnectActionWhenTheClientCloses() throws Exception {
        try (HttpServer server = builder(calls::add).open(ANY_PORT)) {
            CompletableFuture<Void> disconnected = new CompletableFuture<>();
            try (RawClient client = new RawClient(server.address())) {
                client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                awaitCalls(1);
                calls.get(0).onDisconnect(() -> disconnected.complete(null));
            }
            disconnected.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    public void drainAnswersPendingRequestsAndClosesIdleConnections() throws Exception {
        try (HttpServer server = builder(calls::add).open(ANY_PORT);
                RawClient busy = new RawClient(server.address());
                RawClient idle = new RawClient(server.address())) {
            busy.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            awaitCalls(1);
            await(() -> server.connections() == 2);
            CompletableFuture<Void> drained = server.drain(20_000);
            assertEquals(idle.readAll(), "");
            assertTrue(!drained.isDone());
            calls.get(0).reply(HttpReply.text(200, "text/plain", "whole"));
            String all = busy.readAll();
            assertTrue(all.contains("connection: close") && all.endsWith("whole"), all);
            drained.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    public void aRequestArrivesWithItsFirstByte() throws Exception {
        try (HttpServer server = builder(calls::add).open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            long beforeNanos = System.nanoTime();
            client.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n");
            Thread.sleep(400);
            long lastNanos = System.nanoTime();
            client.write("hi");
            awaitCalls(1);
            long arrivedNanos = calls.get(0).arrivedNanos();
            assertTrue(arrivedNanos - beforeNanos >= 0 && arrivedNanos - lastNanos < 0);
        }
    }

    /** The second request begins in the bytes that end the first one. */
    @Test
    public void pipelinedRequestsArriveEachWithItsFirstByte() throws Exception {
        try (HttpServer server = builder(calls::add).open(ANY_PORT);
                RawClient client = new RawClient(server.address())) {
            String post = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n";
            client.write(post);
            Thread.sleep(100);
            long middleNanos = System.nanoTime();
            client.write("hi" + post);
            Thread.sleep(100);
            long lastNanos = System.nanoTime();
            client.write("hi" + post + "hi");
            awaitCalls(3);
            assertTrue(calls.get(0).arrivedNanos() - middleNanos < 0);
            assertTrue(calls.get(1).arrivedNanos() - middleNanos >= 0);
            assertTrue(calls.get(1).arrivedNanos() - lastNanos < 0);
            assertTrue(calls.get(2).arrivedNanos() - lastNanos >= 0);
        }
    }

    @DataProvider
    public Object[][] connections() {
        return new Object[][] {{"accepted"}, {"in the accept queue"}};
    }

    /** The bytes wait in the kernel, or the connection does, while the event loop is blocked. */
    @Test(dataProvider = "connections")
    public void aRequestThatWaitsForABlockedLoopMayHaveArrivedWhenTheLoopWasBlocked(String connection)
            throws Exception {
        try (HttpServer server = builder(calls::add).countBlockedLoops().open(ANY_PORT);
                RawClient open = new RawClient(server.address())) {
            await(() -> server.connections() == 1);
            Thread.sleep(200);
            long beforeNanos = System.nanoTime();
            CountDownLatch blocked = new CountDownLatch(1);
            group.execute(() -> block(blocked, 600));
            blocked.await();
            try (RawClient late = new RawClient(server.address())) {
                RawClient client = connection.equals("accepted") ? open : late;
                client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                long sentNanos = System.nanoTime();
                awaitCalls(1);
                long earlyMs =
                        TimeUnit.NANOSECONDS.toMillis(sentNanos - calls.get(0).arrivedNanos());
                assertTrue(earlyMs >= 0, "counted from " + -earlyMs + " ms after it was sent");
                assertTrue(calls.get(0).arrivedNanos() - beforeNanos > -TimeUnit.MILLISECONDS.toNanos(100));
            }
        }
    }

    /** Connections are accepted by one loop and read by another one; only the first is blocked. */
    @Test(groups = "known-red")
    public void aRequestThatWaitsInTheAcceptQueueOfAnotherLoopMayHaveArrivedWhenThatLoopWasBlocked() throws Exception {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        try (HttpServer server =
                HttpServer.builder(loops, calls::add).countBlockedLoops().open(ANY_PORT)) {
            Thread.sleep(200);
            CountDownLatch blocked = new CountDownLatch(1);
            // The group hands out its loops in turn; the listener got the first one.
            var accepting = loops.iterator().next();
            accepting.execute(() -> block(blocked, 600));
            blocked.await();
            for (int i = 0; i < 2; i++) {
                try (RawClient late = new RawClient(server.address())) {
                    late.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                    long sentNanos = System.nanoTime();
                    awaitCalls(i + 1);
                    long earlyMs = TimeUnit.NANOSECONDS.toMillis(
                            sentNanos - calls.get(i).arrivedNanos());
                    assertTrue(earlyMs >= 0, "connection " + i + " counted from " + -earlyMs + " ms after it was sent");
                }
                if (i == 0) {
                    Thread.sleep(300);
                    CountDownLatch again = new CountDownLatch(1);
                    accepting.execute(() -> block(again, 600));
                    again.await();
                }
            }
        } finally {
            loops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        }
    }

    private static void block(CountDownLatch blocked, long ms) {
        blocked.countDown();
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpServer.Builder builder(HttpHandler handler) {
        return HttpServer.builder(group, handler)
                .errorFormat((status, detail) -> HttpReply.text(status, "text/plain", "formatted " + status));
    }

    private void echo(HttpCall call) {
        call.reply(HttpReply.text(200, "text/plain", new String(call.body(), StandardCharsets.UTF_8)));
    }

    private void awaitCalls(int count) throws InterruptedException {
        await(() -> calls.size() >= count);
    }

    private static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "condition not met within 20 s");
            Thread.sleep(2);
        }
    }
}
