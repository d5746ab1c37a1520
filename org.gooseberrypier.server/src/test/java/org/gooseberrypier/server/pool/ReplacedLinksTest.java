package org.gooseberrypier.server.pool;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.server.testing.Waiting;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests what an owner reports of links that are lost or replaced, with streams that are driven in a given order.
 *
 * <p>The check for silent links runs on the only event loop, which stands still until a test resumes it.
 */
public class ReplacedLinksTest {

    private static final VmIncarnation VM = new VmIncarnation("127.0.0.1:1", "zone-a", 7, 1_000);

    /** New for each test: the links of the test before may be reported as lost when they are closed. */
    private List<PoolEvent> events;

    private volatile Consumer<PoolEvent> beforeEvent;
    private volatile Consumer<PoolEvent> afterEvent;
    private EventLoopGroup group;
    private CountDownLatch silenceCheck;
    private EntryLinks links;

    @BeforeMethod
    public void open() {
        List<PoolEvent> reported = new CopyOnWriteArrayList<>();
        events = reported;
        beforeEvent = e -> {};
        afterEvent = e -> {};
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        links = new EntryLinks(new HostPort("127.0.0.1", 0), group, e -> {
            beforeEvent.accept(e);
            // Whether the loop stands still for long enough to be reported as blocked depends on the machine.
            if (!(e instanceof PoolEvent.LoopBlocked)) {
                reported.add(e);
            }
            afterEvent.accept(e);
        });
        silenceCheck = new CountDownLatch(1);
        CountDownLatch resume = silenceCheck;
        CountDownLatch paused = new CountDownLatch(1);
        group.execute(() -> {
            paused.countDown();
            await(resume);
        });
        await(paused);
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        silenceCheck.countDown();
        links.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(60, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private FakeEntryStream link(long number) {
        FakeEntryStream stream = new FakeEntryStream(links);
        stream.hello(VM, number);
        return stream;
    }

    private static PoolEvent up(long link) {
        return new PoolEvent.EntryLinkUp(VM, link, true);
    }

    private static PoolEvent down(long link) {
        return new PoolEvent.EntryLinkDown(VM, link);
    }

    private static PoolEvent received(long link, PoolMessage.ToOwner message) {
        return new PoolEvent.EntryMessageReceived(VM, link, message);
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

    /** Lets the check for silent links run until it has ended a link that sends nothing. */
    private void awaitLossBySilence(long link) {
        silenceCheck.countDown();
        Waiting.until("the loss is reported", () -> events.contains(down(link)));
    }

    /** Starts a thread that a test ends by {@link #join}. */
    private static Thread start(Runnable body) {
        Thread thread = new Thread(body, "link");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void join(Thread thread) {
        Waiting.until("the thread ends", () -> !thread.isAlive());
    }

    @Test
    public void theLossOfAReplacedLinkIsReportedBeforeTheNewLink() {
        FakeEntryStream first = link(1);
        FakeEntryStream second = link(2);
        assertEquals(events, List.of(up(1), down(1), up(2)));
        assertTrue(first.isCompleted());
        assertFalse(second.isCompleted());
        assertTrue(second.received().get(0).getWelcome());
    }

    /** The network delivers messages and the end of the first stream after the second link is up. */
    @Test
    public void nothingOfAReplacedLinkIsReported() {
        FakeEntryStream first = link(1);
        link(2);
        first.send(forward("a"));
        first.end();
        first.cancel();
        first.send(forward("b"));
        assertEquals(events, List.of(up(1), down(1), up(2)));
    }

    @Test
    public void nothingOfALinkThatWasLostIsReported() {
        FakeEntryStream first = link(1);
        first.send(forward("a"));
        first.cancel();
        first.send(forward("b"));
        first.end();
        assertEquals(events, List.of(up(1), received(1, forward("a")), down(1)));
    }

    @Test
    public void nothingOfALinkThatTheOwnerTookForSilentIsReported() {
        FakeEntryStream first = link(1);
        awaitLossBySilence(1);
        first.send(forward("a"));
        first.end();
        first.cancel();
        assertEquals(events, List.of(up(1), down(1)));
        assertTrue(first.isCompleted());
    }

    /** Messages wait in the socket while a thread of the owner stands still, and another one takes the link for silent. */
    @Test
    public void messagesThatABlockedLoopReadsAfterTheLossOfTheirLinkAreNotReported() {
        PoolMessage.ToOwner before = new PoolMessage.WithdrawJob("before");
        CountDownLatch reported = new CountDownLatch(1);
        CountDownLatch resume = blockAfter(received(1, before), reported);
        FakeEntryStream first = link(1);
        Thread loop = start(() -> {
            first.send(before);
            first.send(forward("a"));
            first.send(forward("b"));
        });
        await(reported);
        awaitLossBySilence(1);
        resume.countDown();
        join(loop);
        assertEquals(events, List.of(up(1), received(1, before), down(1)));
    }

    /** As before, but the VM opens a new link meanwhile. */
    @Test
    public void messagesThatABlockedLoopReadsAfterTheNewLinkAreNotReported() {
        PoolMessage.ToOwner before = new PoolMessage.WithdrawJob("before");
        CountDownLatch reported = new CountDownLatch(1);
        CountDownLatch resume = blockAfter(received(1, before), reported);
        FakeEntryStream first = link(1);
        Thread loop = start(() -> {
            first.send(before);
            first.send(forward("a"));
        });
        await(reported);
        FakeEntryStream second = link(2);
        resume.countDown();
        join(loop);
        second.send(forward("a"));
        assertEquals(events, List.of(up(1), received(1, before), down(1), up(2), received(2, forward("a"))));
    }

    private CountDownLatch blockAfter(PoolEvent event, CountDownLatch reported) {
        CountDownLatch resume = new CountDownLatch(1);
        afterEvent = e -> {
            if (e.equals(event)) {
                reported.countDown();
                await(resume);
            }
        };
        return resume;
    }

    /** A message that waits for room in the core's ring while its link is replaced names its own link, not the new one. */
    @Test
    public void aMessageThatIsReportedLateNamesItsOwnLink() {
        CountDownLatch waits = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        beforeEvent = e -> {
            if (e instanceof PoolEvent.EntryMessageReceived) {
                waits.countDown();
                await(resume);
            }
        };
        FakeEntryStream first = link(1);
        Thread loop = start(() -> first.send(forward("a")));
        await(waits);
        link(2);
        resume.countDown();
        join(loop);
        assertEquals(events, List.of(up(1), down(1), up(2), received(1, forward("a"))));
    }

    /** The core would take the VM for one without a link, and would not send to it. */
    @Test
    public void theLossOfALinkIsNotReportedAfterTheNewLink() {
        CountDownLatch waits = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        beforeEvent = e -> {
            // As with a full ring: the thread waits before the event has its place in the order.
            if (e.equals(down(1))) {
                waits.countDown();
                await(resume);
            }
        };
        FakeEntryStream first = link(1);
        Thread losing = start(first::cancel);
        await(waits);
        Thread opening = start(() -> link(2));
        Waiting.until(
                "the new link waits or is reported",
                () -> opening.getState() == Thread.State.BLOCKED || events.contains(up(2)));
        resume.countDown();
        join(losing);
        join(opening);
        assertEquals(events, List.of(up(1), down(1), up(2)));
    }

    /** The first link's hello comes after the second link's, which it must not replace. */
    @Test
    public void aHelloThatTheNetworkKeptDoesNotReplaceANewerLink() {
        FakeEntryStream second = link(2);
        FakeEntryStream first = link(1);
        first.send(forward("a"));
        first.cancel();
        assertEquals(events, List.of(up(2)));
        assertTrue(first.isCompleted());
        assertFalse(second.isCompleted());
        second.send(forward("b"));
        assertEquals(events, List.of(up(2), received(2, forward("b"))));
    }
}
