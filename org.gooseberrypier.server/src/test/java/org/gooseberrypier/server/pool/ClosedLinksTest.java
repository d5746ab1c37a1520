package org.gooseberrypier.server.pool;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests over sockets what both ends report of a link that they have closed or replaced while the network keeps its bytes.
 *
 * <p>On a slow machine a link may become silent at any time, and is opened again with another number. Therefore the tests
 * check what holds of any number of links. {@link ReplacedLinksTest} checks exact events.
 */
public class ClosedLinksTest {

    private static final VmIncarnation VM = new VmIncarnation("127.0.0.1:1", "zone-a", 7, 1_000);
    private static final long NUMBER = 5;

    /** New for each test: the links of the test before may be reported as lost when they are closed. */
    private List<PoolEvent> ownerEvents;

    private List<PoolEvent> entryEvents;
    private final List<OwnerLink> opened = new ArrayList<>();
    private volatile Consumer<PoolEvent> afterEntryEvent;
    private EventLoopGroup ownerGroup;
    private EventLoopGroup entryGroup;
    private EventLoopGroup otherGroup;
    private EntryLinks links;
    private KeepingTcpForwarder network;

    @BeforeMethod
    public void open() throws IOException {
        ownerEvents = new CopyOnWriteArrayList<>();
        entryEvents = new CopyOnWriteArrayList<>();
        afterEntryEvent = e -> {};
        // The listener, the silence check and the first two connections have a loop each.
        ownerGroup = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
        entryGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        otherGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        links = new EntryLinks(new HostPort("127.0.0.1", 0), ownerGroup, ownerEvents::add);
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
        OwnerLink link = link();
        keep();
        link.send(forward("a"));
        link.send(forward("b"));
        link.close();
        int before = awaitAllDown();
        deliver();
        assertNoMessagesOfEarlierLinks(before);
    }

    /** The owner closes its end, then the entry VM does, then the network delivers. */
    @Test
    public void messagesOfALinkThatTheOwnerClosedFirstAreNotReported() {
        OwnerLink link = link();
        keep();
        link.send(forward("a"));
        link.send(forward("b"));
        barrier(entryGroup);
        CountDownLatch resume = pause(entryGroup.next());
        int before = awaitAllDown();
        link.close();
        resume.countDown();
        barrier(entryGroup);
        deliver();
        assertNoMessagesOfEarlierLinks(before);
    }

    /** The entry VM's process stands still, so that only the owner closes its end. */
    @Test
    public void messagesOfAPausedVmWhoseLinkTheOwnerClosedAreNotReported() {
        OwnerLink link = link();
        keep();
        link.send(forward("a"));
        link.send(forward("b"));
        barrier(entryGroup);
        CountDownLatch resume = pause(entryGroup.next());
        int before = awaitAllDown();
        for (int i = 0; i < network.accepted(); i++) {
            KeepingTcpForwarder.Direction toOwner = network.connection(i).toTarget();
            toOwner.deliver();
            Waiting.until("all is delivered", () -> toOwner.isIdle() || toOwner.hasEnded());
        }
        barrier(ownerGroup);
        assertNoMessagesOfEarlierLinks(before);
        link.close();
        resume.countDown();
        deliver();
        assertNoMessagesOfEarlierLinks(before);
    }

    /** The end of the stream waits behind messages that the entry VM has not made room for, so the stream stays open. */
    @Test
    public void messagesOfALinkThatWasClosedWithUnsentMessagesAreNotReported() {
        OwnerLink link = link();
        keep();
        link.send(forward("a"));
        link.send(forward("b"));
        fillWindow();
        link.close();
        int before = awaitAllDown();
        deliver();
        assertNoMessagesOfEarlierLinks(before);
    }

    /** The core must end the jobs of the first link, which the VM forwards again over the second one if it has them. */
    @Test
    public void theLossOfAReplacedLinkIsReportedBeforeTheNewLink() {
        OwnerLink first = link();
        keep();
        first.close();
        link();
        deliver();
        assertTrue(ups() > 1, "events: " + ownerEvents);
        assertLossesPrecedeNewLinks();
        long number = ((PoolEvent.EntryLinkUp) links().get(0)).link();
        assertTrue(number > 0, "links: " + links());
        for (PoolEvent e : links()) {
            // The owner tells outdated streams by their numbers.
            assertTrue(
                    e instanceof PoolEvent.EntryLinkUp up ? up.link() >= number : e instanceof PoolEvent.EntryLinkDown,
                    "links: " + links());
        }
    }

    /** The end of the replaced stream waits behind messages, so it stays open. */
    @Test
    public void messagesOfAReplacedLinkWithUnsentMessagesAreNotReported() {
        OwnerLink first = link();
        keep();
        first.send(forward("a"));
        fillWindow();
        first.close();
        link();
        barrier(ownerGroup);
        int before = ownerEvents.size();
        deliver();
        assertNoMessagesOfEarlierLinks(before);
    }

    /** A message that was read with the one before it, while the link was closed, comes from a link that has ended. */
    @Test
    public void messagesAreNotReportedAfterTheOwnerLinkWasClosed() {
        OwnerLink link = link();
        CountDownLatch resume = pause(entryGroup.next());
        KeepingTcpForwarder.Direction toEntry = lastConnection().toClient();
        int before = closeAtNextEvent(link);
        long delivered = toEntry.deliveredBytes();
        send("a");
        send("b");
        Waiting.until(
                "both messages arrive, or the owner has lost the link",
                () -> toEntry.deliveredBytes() > delivered + 2 * 200 || isDown());
        resume.countDown();
        assertOneEventAfter(before);
    }

    /** The end of a stream that was read while the link was closed is no loss of the next link to the same owner. */
    @Test
    public void theLossOfAClosedOwnerLinkIsNotReported() {
        OwnerLink link = link();
        CountDownLatch resume = pause(entryGroup.next());
        KeepingTcpForwarder.Direction toEntry = lastConnection().toClient();
        int before = closeAtNextEvent(link);
        long delivered = toEntry.deliveredBytes();
        send("a");
        Waiting.until(
                "the message arrives, or the owner has lost the link",
                () -> toEntry.deliveredBytes() > delivered + 200 || isDown());
        // The owner ends the first stream for a second one.
        int ups = ups();
        opened.add(new OwnerLink(VM, links.address().toString(), NUMBER, otherGroup.next(), e -> {}));
        Waiting.until("the owner reports the second link", () -> ups() > ups);
        barrier(ownerGroup);
        Waiting.until("the end arrives", () -> toEntry.isIdle() || toEntry.hasEnded());
        resume.countDown();
        assertOneEventAfter(before);
    }

    /** What a link reports names the effect that opened it, also after it has replaced a connection. */
    @Test
    public void eventsOfAnOwnerLinkCarryItsNumber() {
        link().close();
        barrier(entryGroup);
        int before = entryEvents.size();
        OwnerLink second = open(NUMBER + 1);
        awaitEntryEvent(before, new PoolEvent.OwnerLinkUp(peer(), NUMBER + 1));
        int up = entryEvents.size();
        send("a");
        Waiting.until("the message, or a loss before it, is reported", () -> entryEvents.size() > up);
        links.close();
        Waiting.until("the entry VM reports the loss", () -> entryEvents.stream()
                .anyMatch(PoolEvent.OwnerLinkDown.class::isInstance));
        second.close();
        for (PoolEvent e : List.copyOf(entryEvents)) {
            assertTrue(numberOf(e) == NUMBER || numberOf(e) == NUMBER + 1, "events: " + entryEvents);
        }
        assertTrue(entryEventsFrom(before).stream().allMatch(e -> numberOf(e) == NUMBER + 1), "events: " + entryEvents);
    }

    private static long numberOf(PoolEvent event) {
        if (event instanceof PoolEvent.OwnerLinkUp u) {
            return u.link();
        } else if (event instanceof PoolEvent.OwnerLinkDown d) {
            return d.link();
        }
        return ((PoolEvent.OwnerMessageReceived) event).link();
    }

    private String peer() {
        return network.address().toString();
    }

    private OwnerLink open(long number) {
        List<PoolEvent> reported = entryEvents;
        OwnerLink link = new OwnerLink(VM, peer(), number, entryGroup.next(), e -> {
            reported.add(e);
            afterEntryEvent.accept(e);
        });
        opened.add(link);
        return link;
    }

    /** Opens a link and waits until both ends report it. */
    private OwnerLink link() {
        int ups = ups();
        int before = entryEvents.size();
        OwnerLink link = open(NUMBER);
        Waiting.until("the owner reports the link", () -> ups() > ups);
        awaitEntryEvent(before, new PoolEvent.OwnerLinkUp(peer(), NUMBER));
        return link;
    }

    private void awaitEntryEvent(int from, PoolEvent event) {
        Waiting.until(
                "the entry VM reports " + event, () -> entryEventsFrom(from).contains(event));
    }

    private List<PoolEvent> entryEventsFrom(int index) {
        // A part of the list itself fails when an event is added.
        List<PoolEvent> events = List.copyOf(entryEvents);
        return events.subList(index, events.size());
    }

    /** Closes a link on its event loop at the next event, and returns how many events precede that. */
    private int closeAtNextEvent(OwnerLink link) {
        int before = entryEvents.size();
        afterEntryEvent = e -> link.close();
        return before;
    }

    private void assertOneEventAfter(int before) {
        Waiting.until("an event is reported", () -> entryEvents.size() > before);
        barrier(entryGroup);
        assertEquals(entryEvents.size(), before + 1, "events: " + entryEvents);
    }

    private void send(String job) {
        links.send(new PoolEffect.SendToEntry(VM, new PoolMessage.JobNotAdmitted(job.repeat(200))));
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

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(60, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits until each loop has run its tasks and read its sockets. */
    private static void barrier(EventLoopGroup group) {
        for (int i = 0; i < 5; i++) {
            for (EventExecutor e : group) {
                e.submit(() -> {}).awaitUninterruptibly();
            }
        }
    }

    private KeepingTcpForwarder.Connection lastConnection() {
        return network.connection(network.accepted() - 1);
    }

    /** Keeps the bytes of all connections that are open now. */
    private void keep() {
        for (int i = 0; i < network.accepted(); i++) {
            network.connection(i).keep();
        }
    }

    /**
     * Delivers what the network kept, then the ends of the streams, and waits until the owner has read them. The entry VM must
     * have closed the connections that were kept.
     */
    private void deliver() {
        int connections = network.accepted();
        for (int i = 0; i < connections; i++) {
            network.connection(i).toTarget().deliver();
        }
        Waiting.until(
                "the first connection is delivered",
                () -> network.connection(0).toTarget().hasEnded());
        for (int i = 0; i < connections; i++) {
            network.connection(i).toClient().deliver();
        }
        Waiting.until(
                "the owner closes the first connection",
                () -> network.connection(0).toClient().hasEnded());
        barrier(ownerGroup);
    }

    /** Waits until the owner has reported the loss of all links, and returns how many events precede what comes later. */
    private int awaitAllDown() {
        Waiting.until("the owner reports the loss", this::isDown);
        // A thread may be reporting a message that came before the loss.
        barrier(ownerGroup);
        return ownerEvents.size();
    }

    private boolean isDown() {
        List<PoolEvent> reported = links();
        return reported.get(reported.size() - 1) instanceof PoolEvent.EntryLinkDown;
    }

    private int ups() {
        return (int) ownerEvents.stream()
                .filter(PoolEvent.EntryLinkUp.class::isInstance)
                .count();
    }

    /** Returns the reported ups and downs of the VM. */
    private List<PoolEvent> links() {
        return ownerEvents.stream()
                .filter(e -> e instanceof PoolEvent.EntryLinkUp || e instanceof PoolEvent.EntryLinkDown)
                .toList();
    }

    /** Checks that each link is reported as up, then as lost, before the next one is up. */
    private void assertLossesPrecedeNewLinks() {
        List<PoolEvent> reported = links();
        Set<Long> numbers = new HashSet<>();
        for (int i = 0; i < reported.size(); i++) {
            if (i % 2 == 0) {
                assertTrue(reported.get(i) instanceof PoolEvent.EntryLinkUp, "links: " + reported);
                PoolEvent.EntryLinkUp up = (PoolEvent.EntryLinkUp) reported.get(i);
                assertEquals(up, new PoolEvent.EntryLinkUp(VM, up.link(), true));
                assertTrue(numbers.add(up.link()), "links: " + reported);
            } else {
                long number = ((PoolEvent.EntryLinkUp) reported.get(i - 1)).link();
                assertEquals(reported.get(i), new PoolEvent.EntryLinkDown(VM, number), "links: " + reported);
            }
        }
    }

    /** Checks that nothing that was reported later than the given number of events is a message of a link lost before. */
    private void assertNoMessagesOfEarlierLinks(int before) {
        assertLossesPrecedeNewLinks();
        List<PoolEvent> events = List.copyOf(ownerEvents);
        Set<Long> lost = new HashSet<>();
        for (PoolEvent e : events.subList(0, before)) {
            if (e instanceof PoolEvent.EntryLinkDown d) {
                lost.add(d.link());
            }
        }
        assertFalse(lost.isEmpty(), "events: " + events);
        for (PoolEvent e : events.subList(before, events.size())) {
            if (e instanceof PoolEvent.EntryMessageReceived m) {
                assertFalse(lost.contains(m.link()), "events: " + events);
                assertNotEquals(m.link(), 0L);
            }
        }
    }

    private static PoolMessage.ForwardJob forward(String job) {
        return new PoolMessage.ForwardJob(
                new PoolJob(job, "koda", "verify", "payload", 4, 500, 64, 100, 0, 3, 1, 1_000, "", ""),
                0,
                0,
                List.of(),
                false,
                PoolMessage.ForwardJob.UNLIMITED);
    }
}
