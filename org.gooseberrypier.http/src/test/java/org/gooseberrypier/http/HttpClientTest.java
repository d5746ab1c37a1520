package org.gooseberrypier.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class HttpClientTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private EventLoopGroup group;

    @BeforeMethod
    public void setUp() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterMethod
    public void tearDown() {
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    public void refusedConnectionIsReportedAsNotSent() throws Exception {
        HostPort closedPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            closedPort = new HostPort("127.0.0.1", socket.getLocalPort());
        }
        HttpClient client = HttpClient.builder(group).build();
        Throwable failure = failure(client.send(closedPort, get(5_000)));
        assertEquals(failure.getClass(), NotSentException.class);
        assertTrue(((NotSentException) failure).isRefused());
    }

    @DataProvider
    public Object[][] incompleteReplies() {
        return new Object[][] {
            {"no reply", ""},
            {"part of a header", "HTTP/1.1 200 OK\r\nContent-Le"},
            {"part of a body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345"},
            {"part of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12"},
            {"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n"},
            {"a body without a length", "HTTP/1.1 200 OK\r\n\r\nhalf of the bo"},
            {"not HTTP", "hello\r\n\r\n"},
        };
    }

    @Test(dataProvider = "incompleteReplies")
    public void incompleteReplyIsReportedAsNoReply(String what, String reply) throws Exception {
        try (RawServer server = new RawServer((socket, number) -> {
            RawServer.readHeader(socket);
            RawServer.write(socket, reply);
            socket.close();
        })) {
            HttpClient client = HttpClient.builder(group).build();
            Throwable error = failure(client.send(server.address(), get(5_000)));
            assertEquals(error.getClass(), NoReplyException.class, what + ": " + error);
            assertEquals(server.accepted(), 1, "the request is sent only once");
        }
    }

    @Test
    public void timeoutIsReportedAsNoReplyAndTheConnectionIsNotReused() throws Exception {
        try (RawServer server = new RawServer((socket, number) -> {
            RawServer.readHeader(socket);
            if (number > 1) {
                RawServer.write(socket, OK);
            }
        })) {
            HttpClient client = HttpClient.builder(group).build();
            Throwable error = failure(client.send(server.address(), get(100)));
            assertEquals(error.getClass(), NoReplyException.class);
            assertEquals(
                    client.send(server.address(), get(5_000))
                            .get(20, TimeUnit.SECONDS)
                            .text(),
                    "ok");
            assertEquals(server.accepted(), 2, "the connection without a reply is not reused");
        }
    }

    @Test
    public void informationalRepliesAreSkipped() throws Exception {
        try (RawServer server = new RawServer((socket, number) -> {
            RawServer.readHeader(socket);
            RawServer.write(socket, "HTTP/1.1 102 Processing\r\n\r\n" + OK);
        })) {
            HttpClient client = HttpClient.builder(group).build();
            HttpReply reply = client.send(server.address(), get(5_000)).get(20, TimeUnit.SECONDS);
            assertEquals(reply.status() + reply.text(), "200ok");
        }
    }

    @Test
    public void aConnectionThatTheServerClosedIsReplacedBeforeTheNextRequest() throws Exception {
        try (RawServer server = new RawServer((socket, number) -> {
            RawServer.readHeader(socket);
            RawServer.write(socket, OK);
            socket.close();
        })) {
            HttpClient client = HttpClient.builder(group).build();
            client.send(server.address(), get(5_000)).get(20, TimeUnit.SECONDS);
            Thread.sleep(100);
            client.send(server.address(), get(5_000)).get(20, TimeUnit.SECONDS);
            assertEquals(server.accepted(), 2);
        }
    }

    @Test
    public void connectionIdleForLongerThanTheLimitIsNotReused() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (RawServer server = new RawServer((socket, number) -> {
            while (!RawServer.readHeader(socket).isEmpty()) {
                requests.incrementAndGet();
                if (number > 1 || requests.get() == 1) {
                    RawServer.write(socket, OK);
                }
            }
        })) {
            HttpClient client = HttpClient.builder(group).maxIdleMs(50).build();
            client.send(server.address(), get(5_000)).get(20, TimeUnit.SECONDS);
            Thread.sleep(200);
            client.send(server.address(), get(5_000)).get(20, TimeUnit.SECONDS);
            assertEquals(server.accepted(), 2);
        }
    }

    @Test
    public void connectionsStayWithinTheirLimitAndAreReused() throws Exception {
        try (RawServer server = new RawServer((socket, number) -> {
            while (!RawServer.readHeader(socket).isEmpty()) {
                RawServer.write(socket, OK);
            }
        })) {
            HttpClient client = HttpClient.builder(group).build();
            client.setMaxConnections(server.address(), 3);
            List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                replies.add(client.send(server.address(), get(20_000)));
            }
            for (CompletableFuture<HttpReply> r : replies) {
                assertEquals(r.get(20, TimeUnit.SECONDS).text(), "ok");
            }
            assertEquals(server.accepted(), 3);
        }
    }

    @Test
    public void aRequestThatGetsNoConnectionInTimeIsNotSent() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (RawServer server = new RawServer((socket, number) -> {
            while (!RawServer.readHeader(socket).isEmpty()) {
                requests.incrementAndGet();
            }
        })) {
            HttpClient client = HttpClient.builder(group)
                    .maxConnectionsPerAddress(1)
                    .maxWaitingRequestsPerAddress(1)
                    .build();
            CompletableFuture<HttpReply> first = client.send(server.address(), get(2_000));
            while (requests.get() == 0) {
                Thread.sleep(2);
            }
            CompletableFuture<HttpReply> second = client.send(server.address(), get(100));
            CompletableFuture<HttpReply> third = client.send(server.address(), get(100));
            assertEquals(failure(third).getClass(), NotSentException.class, "the queue is full");
            assertEquals(failure(second).getClass(), NotSentException.class, "no connection before the timeout");
            assertFalse(((NotSentException) failure(third)).isRefused());
            assertFalse(((NotSentException) failure(second)).isRefused());
            assertEquals(failure(first).getClass(), NoReplyException.class);
            assertEquals(requests.get(), 1);
        }
    }

    @Test
    public void drainLetsRequestsInFlightEnd() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        try (RawServer server = new RawServer((socket, number) -> {
            RawServer.readHeader(socket);
            release.join();
            RawServer.write(socket, OK);
            assertEquals(RawServer.readHeader(socket), "");
            socket.close();
        })) {
            HttpClient client = HttpClient.builder(group).build();
            CompletableFuture<HttpReply> reply = client.send(server.address(), get(20_000));
            client.drain(server.address());
            release.complete(null);
            assertEquals(reply.get(20, TimeUnit.SECONDS).text(), "ok");
        }
    }

    @Test
    public void requestWithAnInvalidHeaderIsNotSent() throws Exception {
        try (RawServer server = new RawServer((socket, number) -> RawServer.readHeader(socket))) {
            HttpClient client = HttpClient.builder(group).build();
            HttpRequestSpec split =
                    new HttpRequestSpec("GET", "/", java.util.Map.of("A", "b\r\nC: d"), new byte[0], 5_000);
            assertEquals(failure(client.send(server.address(), split)).getClass(), NotSentException.class);
        }
    }

    private static HttpRequestSpec get(long timeoutMs) {
        return HttpRequestSpec.get("/", timeoutMs);
    }

    private static Throwable failure(CompletableFuture<HttpReply> reply) throws Exception {
        try {
            HttpReply value = reply.get(20, TimeUnit.SECONDS);
            throw new AssertionError("expected a failure, got a reply with status " + value.status());
        } catch (ExecutionException e) {
            assertTrue(e.getCause() instanceof IOException, "expected an IOException, got " + e.getCause());
            return e.getCause();
        }
    }
}
