package org.gooseberrypier.server.peer;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.PeerMessage;
import org.gooseberrypier.peer.SubmissionMessage;
import org.gooseberrypier.server.settings.PeerSettings;
import org.gooseberrypier.server.settings.Settings;
import org.gooseberrypier.server.testing.TcpForwarder;
import org.gooseberrypier.server.testing.Waiting;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.VmSpec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PeerTransportTest {

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final VmId ADA = new VmId("ada");
    private static final VmId BEA = new VmId("bea");

    private final List<PeerTransport> transports = new ArrayList<>();
    private EventLoopGroup group;

    @BeforeMethod
    public void setUp() {
        group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    }

    @AfterMethod
    public void tearDown() {
        transports.forEach(PeerTransport::close);
        transports.clear();
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    public void deliversMessagesInOrderWithTheirSender() {
        Inbox inbox = new Inbox();
        PeerTransport bea = open(BEA, inbox, "", 0);
        PeerTransport ada = open(ADA, new Inbox(), "", 0);
        ada.applyConfiguration(configuration(BEA, bea.address()));
        for (int i = 1; i <= 100; i++) {
            ada.send(new Effect.SendPeer(BEA, heartbeat(i)));
        }
        Waiting.until("all messages", () -> inbox.messages().size() == 100);
        for (int i = 1; i <= 100; i++) {
            assertEquals(inbox.messages().get(i - 1), heartbeat(i));
        }
        assertEquals(inbox.received.peek().from(), new Member(ADA, 7));
    }

    @Test
    public void deliversTheLargestJob() {
        Inbox inbox = new Inbox();
        PeerTransport bea = open(BEA, inbox, "", 0);
        PeerTransport ada = open(ADA, new Inbox(), "", 0);
        ada.applyConfiguration(configuration(BEA, bea.address()));
        SubmissionMessage.Forward forward = new SubmissionMessage.Forward(new Member(ADA, 7), 5, 0, largeSubmission());
        ada.send(new Effect.SendPeer(BEA, forward));
        Waiting.until("the job", () -> inbox.messages().size() == 1);
        assertEquals(inbox.messages().get(0), forward);
    }

    @Test
    public void replacesASilentStreamByANewConnection() throws Exception {
        Inbox inbox = new Inbox();
        Inbox own = new Inbox();
        PeerTransport bea = open(BEA, inbox, "", 0);
        try (TcpForwarder forwarder = new TcpForwarder(bea.address())) {
            PeerTransport ada = open(ADA, own, "silentTimeoutMs", 200);
            ada.applyConfiguration(configuration(BEA, forwarder.address()));
            ada.send(new Effect.SendPeer(BEA, heartbeat(1)));
            Waiting.until("the first message", () -> inbox.messages().size() == 1);
            Waiting.until("an answered ping", () -> ada.counters().peersUp() == 1);
            forwarder.silenceOpenConnections();
            ada.send(new Effect.SendPeer(BEA, heartbeat(2)));
            Waiting.until("the link is reported down", () -> own.others.contains(new PeerEvent.LinkDown(BEA)));
            Waiting.until("another stream is up", () -> ada.counters().peersUp() == 1);
            ada.send(new Effect.SendPeer(BEA, heartbeat(3)));
            Waiting.until("the third message", () -> inbox.messages().contains(heartbeat(3)));
            assertEquals(inbox.messages(), List.of(heartbeat(1), heartbeat(3)), "the lost message was not sent again");
            assertEquals(ada.counters().silentStreams(), 1);
            assertEquals(forwarder.accepted(), 2);
        }
    }

    @Test
    public void reportsARefusedConnection() throws Exception {
        HostPort unusedAddress;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            unusedAddress = new HostPort("127.0.0.1", socket.getLocalPort());
        }
        Inbox own = new Inbox();
        PeerTransport ada = open(ADA, own, "", 0);
        ada.applyConfiguration(configuration(BEA, unusedAddress));
        Waiting.until("the refusal", () -> own.others.contains(new PeerEvent.ConnectionRefused(BEA)));
    }

    @Test
    public void reportsLinkDownAndReconnectsAfterAPeerRestart() {
        Inbox first = new Inbox();
        Inbox own = new Inbox();
        PeerTransport bea = open(BEA, first, "", 0);
        PeerTransport ada = open(ADA, own, "", 0);
        HostPort address = bea.address();
        ada.applyConfiguration(configuration(BEA, address));
        Waiting.until("the stream is up", () -> ada.counters().peersUp() == 1);
        bea.close();
        Waiting.until("the link is reported down", () -> own.others.contains(new PeerEvent.LinkDown(BEA)));
        Inbox second = new Inbox();
        PeerTransport again = new PeerTransport(second, new Member(BEA, 8), group, address, settings("", 0));
        transports.add(again);
        Waiting.until("the stream is up again", () -> ada.counters().peersUp() == 1);
        ada.send(new Effect.SendPeer(BEA, heartbeat(1)));
        Waiting.until("a message at the new process", () -> second.messages().size() == 1);
        assertTrue(first.messages().isEmpty());
    }

    @Test
    public void dropsAndCountsMessagesBeyondTheQueueLimit() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            PeerTransport ada = open(ADA, new Inbox(), "maxQueuedMessages", 10);
            ada.applyConfiguration(configuration(BEA, new HostPort("127.0.0.1", silent.getLocalPort())));
            for (int i = 0; i < 10; i++) {
                ada.send(new Effect.SendPeer(
                        BEA, new SubmissionMessage.Forward(new Member(ADA, 7), i, 0, largeSubmission())));
            }
            for (int i = 0; i < 100; i++) {
                ada.send(new Effect.SendPeer(BEA, heartbeat(i)));
            }
            Waiting.until("dropped messages", () -> ada.counters().dropped() >= 90);
        }
    }

    @Test
    public void dropsMessagesAddressedToAnotherVm() {
        Inbox inbox = new Inbox();
        PeerTransport bea = open(BEA, inbox, "", 0);
        PeerTransport ada = open(ADA, new Inbox(), "", 0);
        VmId replaced = new VmId("replaced");
        ada.applyConfiguration(configuration(replaced, bea.address()));
        ada.send(new Effect.SendPeer(replaced, heartbeat(1)));
        Waiting.until("the message is counted", () -> bea.counters().malformed() == 1);
        assertTrue(inbox.messages().isEmpty());
    }

    @Test
    public void stopSendsWhatIsQueued() {
        Inbox inbox = new Inbox();
        PeerTransport bea = open(BEA, inbox, "", 0);
        PeerTransport ada = open(ADA, new Inbox(), "", 0);
        ada.applyConfiguration(configuration(BEA, bea.address()));
        Waiting.until("the stream is up", () -> ada.counters().peersUp() == 1);
        for (int i = 1; i <= 1_000; i++) {
            ada.send(new Effect.SendPeer(BEA, heartbeat(i)));
        }
        ada.stop(10_000).join();
        Waiting.until("all messages", () -> inbox.messages().size() == 1_000);
    }

    private PeerTransport open(VmId vm, PeerEventSink events, String setting, long value) {
        PeerTransport transport = new PeerTransport(events, new Member(vm, 7), group, ANY, settings(setting, value));
        transports.add(transport);
        return transport;
    }

    private static PeerSettings settings(String name, long value) {
        var builder = Settings.builder("ada", "tartu-a")
                .set("callerAddress", "127.0.0.1:0")
                .set("operatorAddress", "127.0.0.1:0")
                .set("peerAddress", "127.0.0.1:0")
                .set("platformAddress", "127.0.0.1:1")
                .set("peers", "pingMs", 50);
        if (!name.isEmpty()) {
            builder.set("peers", name, value);
        }
        return builder.build().peers();
    }

    private static MembershipMessage.Heartbeat heartbeat(long number) {
        return new MembershipMessage.Heartbeat(number, 1, true, 0);
    }

    private static Configuration configuration(VmId vm, HostPort address) {
        VmSpec spec = new VmSpec(vm, new ZoneId("tartu-a"), address.toString(), false);
        Ticket ticket = new Ticket(
                1,
                "u",
                "author",
                "reason",
                Optional.of(List.of(spec)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        return Configuration.NONE.apply(ticket, 0, 0);
    }

    private static Submission largeSubmission() {
        List<TaskSpec> tasks = new ArrayList<>();
        for (int i = 0; i < 490; i++) {
            byte[] body = new byte[32 << 10];
            body[0] = (byte) i;
            tasks.add(new TaskSpec("t" + i, Payload.wrap(body), 50, new Resources(1_000, 64, 0)));
        }
        IdempotencyKey key = new IdempotencyKey("k1", Optional.of(12L), Optional.of(new ZoneId("elva-c")));
        return new Submission(new TeamId("koda"), new WorkId("verify"), 1_000, true, Optional.of(key), tasks);
    }

    private static final class Inbox implements PeerEventSink {

        private final ConcurrentLinkedQueue<PeerEvent.Received> received = new ConcurrentLinkedQueue<>();
        private final ConcurrentLinkedQueue<PeerEvent> others = new ConcurrentLinkedQueue<>();

        @Override
        public void publish(PeerEvent event) {
            if (event instanceof PeerEvent.Received r) {
                received.add(r);
            } else {
                others.add(event);
            }
        }

        List<PeerMessage> messages() {
            return received.stream().map(PeerEvent.Received::message).toList();
        }
    }
}
