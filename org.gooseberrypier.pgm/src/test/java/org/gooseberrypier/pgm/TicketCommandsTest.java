package org.gooseberrypier.pgm;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.standin.platform.Faults;
import org.gooseberrypier.standin.platform.LogStore;
import org.gooseberrypier.standin.platform.PlatformServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class TicketCommandsTest {

    private static final String VMS = "\"vms\":[{\"id\":\"vm-1\",\"zone\":\"tartu-a\","
            + "\"peerAddress\":\"127.0.0.1:7000\",\"leaving\":false}]";

    private final PrintStream out = System.out;
    private final PrintStream err = System.err;
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private final LogStore[] store = new LogStore[1];
    private EventLoopGroup group;
    private PlatformServer platform;

    @BeforeMethod
    public void open() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        store[0] = new LogStore();
        platform = PlatformServer.open(store[0], group, new HostPort("127.0.0.1", 0));
        text.reset();
        PrintStream stream = new PrintStream(text, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
    }

    @AfterMethod
    public void close() {
        System.setOut(out);
        System.setErr(err);
        platform.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    public void secondTicketWithTheSameNumberIsRefusedAndReported() throws IOException {
        assertEquals(publish(ticket(1, "a", VMS)), ExitCode.OK, text());
        assertEquals(publish(ticket(1, "b", VMS)), ExitCode.FAILED, text());
        assertTrue(text().contains("\"a\" accepted at offset 0"), text());
        assertTrue(text().contains("NUMBER_TAKEN"), text());
        assertEquals(run("ticket", "history"), ExitCode.OK);
        assertTrue(text().contains("id=b author=\"operator\" verdict=refused"), text());
    }

    @Test
    public void unansweredAppendIsFoundInTheStream() throws IOException {
        platform.setFaults(Faults.NONE.withLostAnswers(1));
        assertEquals(publish(ticket(1, "a", VMS)), ExitCode.OK, text());
        assertEquals(store[0].read("tickets", 0, 10).records().size(), 1);
    }

    @Test
    public void anInvalidTicketIsNotAppended() throws IOException {
        assertEquals(publish(ticket(1, "a", VMS.replace("7000", "0"))), ExitCode.USAGE);
        assertTrue(text().contains("$.vms[0].peerAddress"), text());
        assertEquals(store[0].read("tickets", 0, 10).records().size(), 0);
    }

    @Test
    public void checkPrintsTheVerdictThatVmsWouldGive() throws IOException {
        assertEquals(publish(ticket(1, "a", VMS)), ExitCode.OK, text());
        assertEquals(check(ticket(2, "b", VMS)), ExitCode.OK, text());
        assertEquals(check(ticket(3, "c", VMS)), ExitCode.USAGE);
        assertTrue(text().contains("NUMBER_GAP"), text());
    }

    @Test
    public void auditPrintsEachEntryOnce() {
        String record = "{\"vm\":\"vm-1\",\"incarnation\":\"1\",\"entries\":[{\"sequence\":1,\"kind\":\"VM_JOINED\"}]}";
        store[0].append("audit", Payload.of(record), System.currentTimeMillis());
        store[0].append("audit", Payload.of(record), System.currentTimeMillis());
        assertEquals(run("audit"), ExitCode.OK);
        assertEquals(text().lines().count(), 1, text());
    }

    private int publish(String json) throws IOException {
        return onFile("publish", json);
    }

    private int check(String json) throws IOException {
        return onFile("check", json);
    }

    private int onFile(String verb, String json) throws IOException {
        Path file = Files.createTempFile("ticket", ".json");
        Files.writeString(file, json);
        int code = Main.run("ticket", verb, "--platform", platform.address().toString(), file.toString());
        Files.delete(file);
        return code;
    }

    private int run(String... words) {
        String[] args = java.util.Arrays.copyOf(words, words.length + 2);
        args[words.length] = "--platform";
        args[words.length + 1] = platform.address().toString();
        return Main.run(args);
    }

    private static String ticket(int number, String id, String sections) {
        return "{\"number\":" + number + ",\"uniqueId\":\"" + id + "\",\"author\":\"operator\",\"reason\":\"test\","
                + sections + "}";
    }

    private String text() {
        return text.toString(StandardCharsets.UTF_8);
    }
}
