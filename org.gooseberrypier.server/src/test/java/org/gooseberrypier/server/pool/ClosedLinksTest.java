package org.gooseberrypier.server.pool;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.server.testing.KeepingTcpForwarder;
import org.gooseberrypier.server.testing.Waiting;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Tests what both ends report of a link that they have closed or replaced while the network keeps its bytes. */
public class ClosedLinksTest {

    private static final VmIncarnation VM = new VmIncarnation("127.0.0.1:1", "zone-a", 7, 1_000);
    /** More than the silence timeout and an interval of the check. */
    private static final long BLOCKED_MS = 1_500;

    private final List<PoolEvent> ownerEvents = new CopyOnWriteArrayList<>();
    private final List<PoolEvent> entryEvents = new CopyOnWriteArrayList<>();
    private final List<OwnerLink> opened = new ArrayList<>();
    private volatile Consumer<PoolEvent> beforeOwnerEvent;
    private volatile Consumer<PoolEvent> afterEntryEvent;
    private EventLoopGroup ownerGroup;
    private EventLoopGroup entryGroup;
    private EventLoopGroup otherGroup;
    private EntryLinks links;
    private KeepingTcpForwarder network;

    @BeforeMethod
    public void open() throws IOException {
        ownerEvents.clear();
        entryEvents.clear();
        beforeOwnerEvent = e -> {};
        afterEntryEvent = e -> {};
        // The listener, the silence check and the first two connections have a loop each.
        ownerGroup = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
        entryGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        otherGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        links = new EntryLinks(new HostPort("127.0.0.1", 0), ownerGroup, e -> {
            beforeOwnerEvent.accept(e);
            ownerEvents.add(e);
        });
        network = new KeepingTcpForwarder(links.address());
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        opened.forEach(OwnerLink::close);
        opened.clear();
        network.close();
        links.close();
        entryGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        otherGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        ownerGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** The entry VM closes its end, then the owner takes the link for silent, then the network delivers. */
    @Test
    public void messagesOfALinkThatTheEntryVmClosedFirstAreNotReported() {
        OwnerLink link = link(1);
        network.connection(0).keep();
        long sent = sentByOwner();
        link.send(forward("a"));
        link.send(forward("b"));
        link.close();
        awaitOwnerEvent(new PoolEvent.EntryLinkDown(VM));
        awaitEndOfStream(sent);
        deliver(0);
        assertEquals(links(), List.of(up(), down()), "events: " + ownerEvents);
        assertNoMessageAfter(down());
    }

    /** The owner closes its end, then the entry VM does, then the network delivers. */
    @Test
    public void messagesOfALinkThatTheOwnerClosedFirstAreNotReported() {
        OwnerLink link = link(1);
        network.connection(0).keep();
        long sent = sentByOwner();
        link.send(forward("a"));
        link.send(forward("b"));
        barrier(entryGroup);
        CountDownLatch resume = pause(entryGroup.next());
        awaitOwnerEvent(new PoolEvent.EntryLinkDown(VM));
        awaitEndOfStream(sent);
        link.close();
        resume.countDown();
        barrier(entryGroup);
        deliver(0);
        assertEquals(links(), List.of(up(), down()), "events: " + ownerEvents);
        assertNoMessageAfter(down());
    }

    /** The entry VM's process stands still, so that only the owner closes its end. */
    @Test
    public void messagesOfAPausedVmWhoseLinkTheOwnerClosedAreNotReported() {
        OwnerLink link = link(1);
        network.connection(0).keep();
        long sent = sentByOwner();
        link.send(forward("a"));
        link.send(forward("b"));
        barrier(entryGroup);
        CountDownLatch resume = pause(entryGroup.next());
        awaitOwnerEvent(new PoolEvent.EntryLinkDown(VM));
        awaitEndOfStream(sent);
        network.connection(0).toTarget().deliver();
        Waiting.until("all is delivered", network.connection(0).toTarget()::isIdle);
        barrier(ownerGroup);
        assertNoMessageAfter(down());
        network.connection(0).toClient().deliver();
        link.close();
        resume.countDown();
        awaitEndOfOwner(0);
        assertEquals(links(), List.of(up(), down()), "events: " + ownerEvents);
        assertNoMessageAfter(down());
    }

    /** The end of the stream waits behind messages that the entry VM has not made room for, so the stream stays open. */
    @Test
    public void messagesOfALinkThatWasClosedWithUnsentMessagesAreNotReported() {
        OwnerLink link = link(1);
        network.connection(0).keep();
        link.send(forward("a"));
        link.send(forward("b"));
        fillWindow();
        link.close();
        awaitOwnerEvent(new PoolEvent.EntryLinkDown(VM));
        deliver(0);
        assertNoMessageAfter(down());
    }

    /** Messages wait in the socket while a thread of the owner stands still, and another one takes the link for silent. */
    @Test
    public void messagesThatABlockedLoopReadsAfterTheLossOfTheirLinkAreNotReported() {
        OwnerLink link = link(1);
        CountDownLatch resume = blockOwnerAt("first");
        link.send(new PoolMessage.WithdrawJob("first"));
        link.send(forward("a"));
        link.send(forward("b"));
        awaitOwnerEventFor(BLOCKED_MS, down());
        link.send(forward("c"));
        barrier(entryGroup);
        resume.countDown();
        link.close();
        awaitEndOfOwner(0);
        assertNoMessageAfter(down());
    }

    /** The core must end the jobs of the first link, which the VM forwards again over the second one if it has them. */
    @Test
    public void theLossOfAReplacedLinkIsReportedBeforeTheNewLink() {
        OwnerLink first = link(1);
        network.connection(0).keep();
        first.close();
        link(2);
        deliver(0);
        assertEquals(links(), List.of(up(), down(), up()), "events: " + ownerEvents);
    }

    /** The end of the replaced stream waits behind messages, so it stays open. */
    @Test
    public void messagesOfAReplacedLinkWithUnsentMessagesAreNotReported() {
        OwnerLink first = link(1);
        network.connection(0).keep();
        first.send(forward("a"));
        fillWindow();
        first.close();
        link(2);
        deliver(0);
        assertNoMessageAfterTheSecondLink();
    }

    /** As before, but the messages wait in the socket while the thread of the first connection stands still. */
    @Test
    public void messagesThatABlockedLoopReadsAfterTheNewLinkAreNotReported() {
        OwnerLink first = link(1);
        CountDownLatch resume = blockOwnerAt("first");
        first.send(new PoolMessage.WithdrawJob("first"));
        first.send(forward("a"));
        first.close();
        OwnerLink second = openLink();
        awaitOwnerEventFor(BLOCKED_MS, e -> links().size() > 1);
        resume.countDown();
        awaitEndOfOwner(0);
        Waiting.until("the second link is up", () -> links().size() > 1);
        second.close();
        assertNoMessageAfterTheSecondLink();
    }

    /** The core would take the VM for one without a link, and would not send to it. */
    @Test
    public void theLossOfALinkIsNotReportedAfterTheNewLink() {
        link(1);
        CountDownLatch down = new CountDownLatch(1);
        beforeOwnerEvent = e -> {
            if (e.equals(down())) {
                down.countDown();
                // As with a full ring: the thread waits before the event has its place in the order.
                awaitOwnerEventFor(BLOCKED_MS, up -> links().size() > 1);
            }
        };
        network.connection(0).keep();
        await(down);
        OwnerLink second = openLink();
        Waiting.until("three events", () -> links().size() >= 3);
        second.close();
        assertEquals(links().subList(0, 3), List.of(up(), down(), up()), "events: " + ownerEvents);
    }

    /** The first link's hello comes after the second link's, which it must not replace. */
    @Test
    public void aHelloThatTheNetworkKeptDoesNotReplaceANewerLink() {
        OwnerLink first = openKept();
        first.close();
        OwnerLink second = openLink();
        Waiting.until("the second link is up", () -> links().size() == 1);
        deliver(0);
        assertEquals(links(), List.of(up()), "events: " + ownerEvents);
        second.send(forward("a"));
        awaitOwnerEvent(new PoolEvent.EntryMessageReceived(VM, forward("a")));
    }

    /** A message that was read with the one before it, while the link was closed, comes from a link that has ended. */
    @Test
    public void messagesAreNotReportedAfterTheOwnerLinkWasClosed() {
        OwnerLink link = link(1);
        afterEntryEvent = e -> {
            if (e.equals(notAdmitted("a"))) {
                link.close();
            }
        };
        CountDownLatch resume = pause(entryGroup.next());
        long delivered = network.connection(0).toClient().deliveredBytes();
        send("a");
        send("b");
        Waiting.until(
                "both messages arrive", () -> network.connection(0).toClient().deliveredBytes() > delivered + 2 * 200);
        resume.countDown();
        Waiting.until("the first message is reported", () -> entryEvents.contains(notAdmitted("a")));
        barrier(entryGroup);
        assertNothingAfter(notAdmitted("a"));
    }

    /** The end of a stream that was read while the link was closed is no loss of the next link to the same owner. */
    @Test
    public void theLossOfAClosedOwnerLinkIsNotReported() {
        OwnerLink link = link(1);
        afterEntryEvent = e -> {
            if (e.equals(notAdmitted("a"))) {
                link.close();
            }
        };
        CountDownLatch resume = pause(entryGroup.next());
        KeepingTcpForwarder.Direction toEntry = network.connection(0).toClient();
        long delivered = toEntry.deliveredBytes();
        send("a");
        Waiting.until("the message arrives", () -> toEntry.deliveredBytes() > delivered + 200);
        barrier(ownerGroup);
        long withMessage = toEntry.deliveredBytes();
        // The owner ends the first stream for a second one.
        opened.add(new OwnerLink(VM, links.address().toString(), otherGroup.next(), e -> {}));
        Waiting.until("the end arrives", () -> toEntry.deliveredBytes() > withMessage);
        resume.countDown();
        Waiting.until("the message is reported", () -> entryEvents.contains(notAdmitted("a")));
        barrier(entryGroup);
        assertNothingAfter(notAdmitted("a"));
    }

    private OwnerLink openLink() {
        OwnerLink link = new OwnerLink(VM, network.address().toString(), entryGroup.next(), e -> {
            entryEvents.add(e);
            afterEntryEvent.accept(e);
        });
        opened.add(link);
        return link;
    }

    /** Opens a link and waits until both ends report that as their event of this number. */
    private OwnerLink link(int number) {
        int before = entryEvents.size();
        OwnerLink link = openLink();
        Waiting.until(
                "the owner reports the link",
                () -> ownerEvents.stream().filter(up()::equals).count() == number);
        Waiting.until("the entry VM reports the link", () -> entryEvents.size() > before);
        return link;
    }

    /** Opens a link whose hello the network keeps. */
    private OwnerLink openKept() {
        network.keepNewConnections(true);
        OwnerLink link = openLink();
        // Follows the hello, so that its bytes show that the hello was sent.
        link.send(forward(longId("a").repeat(20)));
        Waiting.until(
                "the hello is kept",
                () -> network.accepted() == 1
                        && network.connection(0).toTarget().arrivedBytes() > 4_000);
        network.keepNewConnections(false);
        return link;
    }

    private void send(String job) {
        links.send(new PoolEffect.SendToEntry(VM, new PoolMessage.JobNotAdmitted(longId(job))));
    }

    private PoolEvent notAdmitted(String job) {
        return new PoolEvent.OwnerMessageReceived(
                network.address().toString(), new PoolMessage.JobNotAdmitted(longId(job)));
    }

    private static String longId(String job) {
        return job.repeat(200);
    }

    /** Sends more than the entry VM's window of 1 MiB, less than that at a time. */
    private void fillWindow() {
        for (int i = 0; i < 3; i++) {
            for (int j = 0; j < 7; j++) {
                links.send(new PoolEffect.SendToEntry(VM, new PoolMessage.JobNotAdmitted("x".repeat(64 << 10))));
            }
            barrier(ownerGroup);
        }
    }

    /** Blocks the loop of the connection over which a withdrawal comes. */
    private CountDownLatch blockOwnerAt(String withdrawn) {
        CountDownLatch resume = new CountDownLatch(1);
        PoolEvent event = new PoolEvent.EntryMessageReceived(VM, new PoolMessage.WithdrawJob(withdrawn));
        beforeOwnerEvent = e -> {
            if (e.equals(event)) {
                await(resume);
            }
        };
        return resume;
    }

    private static CountDownLatch pause(EventLoop loop) {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        loop.execute(() -> {
            paused.countDown();
            await(resume);
        });
        await(paused);
        return resume;
    }

    /** Waits until each loop has run its tasks and read its sockets. */
    private static void barrier(EventLoopGroup group) {
        for (int i = 0; i < 5; i++) {
            for (EventExecutor e : group) {
                e.submit(() -> {}).awaitUninterruptibly();
            }
        }
    }

    /** Returns how many bytes the owner has sent on the first connection, on which it receives nothing now. */
    private long sentByOwner() {
        barrier(ownerGroup);
        return network.connection(0).toClient().arrivedBytes();
    }

    /** Waits until the owner has ended its first stream, which it does later than it reports the loss. */
    private void awaitEndOfStream(long sentBefore) {
        Waiting.until(
                "the owner ends the stream",
                () -> network.connection(0).toClient().arrivedBytes() > sentBefore);
        barrier(ownerGroup);
    }

    /** Delivers what the network kept of a connection, then the ends of the streams. */
    private void deliver(int connection) {
        network.connection(connection).toTarget().deliver();
        Waiting.until(
                "all is delivered",
                () -> network.connection(connection).toTarget().hasEnded());
        network.connection(connection).toClient().deliver();
        awaitEndOfOwner(connection);
    }

    /** Waits until the owner has read the end of a connection, so everything before it, and has closed its end. */
    private void awaitEndOfOwner(int connection) {
        Waiting.until(
                "the owner closes",
                () -> network.connection(connection).toClient().hasEnded());
        barrier(ownerGroup);
    }

    private void awaitOwnerEvent(PoolEvent event) {
        Waiting.until("no " + event, () -> ownerEvents.contains(event));
    }

    private void awaitOwnerEventFor(long ms, PoolEvent event) {
        awaitOwnerEventFor(ms, e -> ownerEvents.contains(event));
    }

    /** Waits for an event that a correct owner need not report yet. */
    private void awaitOwnerEventFor(long ms, Predicate<List<PoolEvent>> condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (!condition.test(ownerEvents) && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static PoolEvent up() {
        return new PoolEvent.EntryLinkUp(VM, true);
    }

    private static PoolEvent down() {
        return new PoolEvent.EntryLinkDown(VM);
    }

    private static PoolMessage.ForwardJob forward(String job) {
        return new PoolMessage.ForwardJob(
                new PoolJob(job, "koda", "verify", "payload", 4, 500, 64, 100, 0, 3, 1, 1_000, "", ""),
                0,
                0,
                List.of());
    }

    /** Returns the reported ups and downs of the VM. */
    private List<PoolEvent> links() {
        return ownerEvents.stream()
                .filter(e -> e.equals(up()) || e.equals(down()))
                .toList();
    }

    private void assertNoMessageAfter(PoolEvent event) {
        List<PoolEvent> events = List.copyOf(ownerEvents);
        assertNotEquals(events.indexOf(event), -1, "no " + event + " in " + events);
        assertEquals(messages(events.subList(events.indexOf(event), events.size())), List.of(), "events: " + events);
    }

    private void assertNoMessageAfterTheSecondLink() {
        List<PoolEvent> events = List.copyOf(ownerEvents);
        int second = events.lastIndexOf(up());
        assertTrue(second > events.indexOf(up()), "events: " + events);
        assertEquals(messages(events.subList(second, events.size())), List.of(), "events: " + events);
    }

    private static List<PoolEvent> messages(List<PoolEvent> events) {
        return events.stream()
                .filter(PoolEvent.EntryMessageReceived.class::isInstance)
                .toList();
    }

    private void assertNothingAfter(PoolEvent event) {
        List<PoolEvent> events = List.copyOf(entryEvents);
        assertEquals(events.subList(events.indexOf(event) + 1, events.size()), List.of());
    }
}
