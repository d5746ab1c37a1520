package org.gooseberrypier.server.platform;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpRequestSpec;
import org.gooseberrypier.http.HttpServer;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.server.errors.PlatformReplyException;
import org.gooseberrypier.standin.platform.Faults;
import org.gooseberrypier.standin.platform.LogStore;
import org.gooseberrypier.standin.platform.PlatformServer;
import org.gooseberrypier.standin.platform.VmList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class HttpPlatformClientTest {

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final long TIMEOUT_S = 20;

    private EventLoopGroup group;
    private LogStore store;
    private PlatformServer server;
    private HttpPlatformClient client;

    @BeforeMethod
    public void open() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        store = new LogStore();
        server = PlatformServer.open(store, group, ANY);
        client = new HttpPlatformClient(group, server.address());
    }

    @AfterMethod
    public void close() {
        client.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    public void appendedRecordIsRead() throws Exception {
        assertEquals(get(client.append(StreamId.TICKETS, Payload.of("ä\n\"1\""))), new AppendResult.Appended(0));
        LogPage page = get(client.read(StreamId.TICKETS, 0, 0));
        assertEquals(page.records().get(0).data().text(), "ä\n\"1\"");
        assertEquals(page.nextReadOffset(0), 1);
    }

    @Test
    public void waitingReadEndsWithTheNextRecord() throws Exception {
        CompletableFuture<LogPage> read = client.read(StreamId.TICKETS, 0, 60_000);
        get(client.append(new StreamId("other"), Payload.of("x")));
        assertFalse(read.isDone());
        get(client.append(StreamId.TICKETS, Payload.of("x")));
        assertEquals(get(read).records().size(), 1);
    }

    @Test
    public void readOfExpiredOffsetsBeginsAtTheOldestRecord() throws Exception {
        for (int i = 0; i < 5; i++) {
            store.append("tickets", Payload.of("r" + i), 1_000_000_000_000_000L);
        }
        store.expire("tickets", 3);
        LogPage page = get(client.read(StreamId.TICKETS, 1, 0));
        assertEquals(page.firstOffset(), 3);
        assertEquals(page.records().get(0).offset(), 3);
    }

    @Test
    public void lostAnswerIsUncertainAlthoughTheRecordWasAppended() throws Exception {
        server.setFaults(Faults.NONE.withLostAnswers(1));
        assertTrue(get(client.append(StreamId.TICKETS, Payload.of("x"))) instanceof AppendResult.Uncertain);
        assertEquals(store.read("tickets", 0, 10).records().size(), 1);
    }

    @Test
    public void appendBeyondTheRateIsRefused() throws Exception {
        server.setFaults(new Faults(false, 0, 0, 0, 1_000, 1_000, 0));
        assertTrue(get(client.append(StreamId.TICKETS, Payload.of("x"))) instanceof AppendResult.Uncertain);
        assertEquals(store.read("tickets", 0, 10).nextOffset(), 0);
    }

    @Test
    public void vmListIsDelayedByTheConfiguredLag() throws Exception {
        server.vms().set("vm-1", VmList.State.LIVE, System.currentTimeMillis());
        server.setFaults(new Faults(false, 0, 0, 0, 1_000, 1_000, 3_600_000));
        assertEquals(get(client.listVms()).live(), Set.of());
        server.setFaults(new Faults(false, 0, 0, 0, 1_000, 1_000, 0));
        assertEquals(get(client.listVms()).live(), Set.of(new VmId("vm-1")));
    }

    @DataProvider
    public Object[][] unusableReplies() {
        return new Object[][] {
            {500, "{}"},
            {200, "no json"},
            {200, "[]"},
            {200, "{\"firstOffset\":0,\"nextOffset\":1}"},
            {200, "{\"firstOffset\":5,\"nextOffset\":1,\"records\":[]}"},
            {200, "{\"firstOffset\":0,\"nextOffset\":9,\"records\":[{\"offset\":1,\"appendedAtMs\":1,\"data\":\"x\"}]}"
            },
            {200, "{\"firstOffset\":0,\"nextOffset\":9,\"records\":[{\"offset\":0,\"appendedAtMs\":1,\"data\":7}]}"},
            {200, "{\"firstOffset\":0,\"nextOffset\":0,\"records\":[{\"offset\":0,\"appendedAtMs\":1,\"data\":\"x\"}]}"
            },
            {200, "{\"firstOffset\":-1,\"nextOffset\":0,\"records\":[]}"},
        };
    }

    @Test(dataProvider = "unusableReplies")
    public void unusableReplyFailsTheRead(int status, String body) {
        HttpServer bad = HttpServer.builder(group, call -> call.reply(HttpReply.text(status, "application/json", body)))
                .open(ANY);
        HttpPlatformClient badClient = new HttpPlatformClient(group, bad.address());
        ExecutionException e = expectFailure(() -> get(badClient.read(StreamId.TICKETS, 0, 0)));
        assertTrue(
                e.getCause() instanceof PlatformReplyException
                        || e.getCause() instanceof com.fasterxml.jackson.core.JsonProcessingException,
                e.toString());
        bad.close();
    }

    @DataProvider
    public Object[][] badRequests() {
        return new Object[][] {
            {"GET", "/v1/streams/tickets/records?from=-1", ""},
            {"GET", "/v1/streams/tickets/records?from=x", ""},
            {"GET", "/v1/streams/tickets/records?max=0", ""},
            {"POST", "/v1/vms/vm-1", "{\"state\":\"odd\"}"},
            {"POST", "/v1/vms/vm-1", "{"},
            {"POST", "/control/faults", "{\"odd\":1}"},
            {"POST", "/control/faults", "{\"lostAnswers\":2}"},
            {"POST", "/control/faults", "[]"},
            {"POST", "/control/rewind", "{}"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void standinRefusesBadInput(String method, String path, String body) throws Exception {
        assertEquals(send(method, path, body).status(), 400);
    }

    @Test
    public void faultsAreSetOverHttp() throws Exception {
        assertEquals(send("POST", "/control/faults", "{\"delayMs\":7}").status(), 200);
        assertEquals(server.faults(), Faults.NONE.withDelayMs(7));
    }

    private HttpReply send(String method, String path, String body) throws Exception {
        HttpClient plain = HttpClient.builder(group).build();
        return get(plain.send(
                server.address(),
                new HttpRequestSpec(method, path, Map.of(), Payload.of(body).bytes(), 5_000)));
    }

    private static ExecutionException expectFailure(org.testng.Assert.ThrowingRunnable action) {
        return org.testng.Assert.expectThrows(ExecutionException.class, action);
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_S, TimeUnit.SECONDS);
    }
}
