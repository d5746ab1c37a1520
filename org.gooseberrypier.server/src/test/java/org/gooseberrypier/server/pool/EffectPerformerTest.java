package org.gooseberrypier.server.pool;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.pool.ClaimResult;
import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.Ownership;
import org.gooseberrypier.pool.PoolConfiguration;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.RunId;
import org.gooseberrypier.pool.StartResult;
import org.gooseberrypier.pool.VmIncarnation;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Checks that failures of I/O reach the core as events: an exception on its thread would end the process. */
public class EffectPerformerTest {

    private static final VmIncarnation SELF = new VmIncarnation("127.0.0.1:1", "zone-a", 1, 1_000);
    private static final PoolEndpoint ENDPOINT =
            new PoolEndpoint("e", "127.0.0.1:2", "zone-a", "service", List.of(), 1_000, 64, false);
    private static final RunId RUN = new RunId("job", 0, 1);

    private final BlockingQueue<PoolEvent> events = new LinkedBlockingQueue<>();
    private EventLoopGroup group;
    private EntryLinks entries;
    private EffectPerformer performer;
    /** The thread that publishes the last event. */
    private volatile Thread publisher;

    /** Whether the clients throw instead of returning a future that fails. */
    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{true}, {false}};
    }

    private static <T> CompletableFuture<T> fail(boolean thrown) {
        RuntimeException error = new IllegalStateException("no event loop");
        if (thrown) {
            throw error;
        }
        return CompletableFuture.failedFuture(error);
    }

    private record FailingEndpoints(boolean thrown) implements EndpointClient {

        @Override
        public CompletableFuture<LeaseRenewalResult> renewLeases(PoolEffect.RenewLeases request) {
            return fail(thrown);
        }

        @Override
        public CompletableFuture<StartResult> start(PoolEffect.Start start) {
            return fail(thrown);
        }

        @Override
        public CompletableFuture<Boolean> stop(PoolEffect.Stop stop) {
            return fail(thrown);
        }
    }

    private record FailingStore(boolean thrown, AtomicInteger listReads) implements PoolStore {

        FailingStore(boolean thrown) {
            this(thrown, new AtomicInteger());
        }

        @Override
        public CompletableFuture<Page<Ownership>> readOwnership(long from, long waitMs) {
            return fail(thrown);
        }

        @Override
        public CompletableFuture<Page<PoolConfiguration>> readConfiguration(long from, long waitMs) {
            return fail(thrown);
        }

        @Override
        public CompletableFuture<List<PoolEndpoint>> readEndpoints() {
            listReads.incrementAndGet();
            return fail(thrown);
        }

        @Override
        public CompletableFuture<ClaimResult> claim(long expectedOffset, VmIncarnation owner) {
            return fail(thrown);
        }
    }

    @BeforeMethod
    public void open() {
        events.clear();
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        entries = new EntryLinks(new HostPort("127.0.0.1", 0), group, this::publish);
    }

    @AfterMethod
    public void close() {
        performer.close();
        entries.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void publish(PoolEvent event) {
        publisher = Thread.currentThread();
        events.add(event);
    }

    private EffectPerformer performer(boolean thrown) {
        PoolStore store = new FailingStore(thrown);
        performer = new EffectPerformer(
                SELF,
                new EffectPerformer.Clients(
                        group,
                        store,
                        new FailingEndpoints(thrown),
                        entries,
                        new EndpointListPoller(store, this::publish)),
                new OpenCalls(),
                new PoolMeters(new SimpleMeterRegistry()),
                this::publish);
        return performer;
    }

    private PoolEvent nextEvent() throws InterruptedException {
        PoolEvent event = events.poll(10, TimeUnit.SECONDS);
        assertTrue(event != null, "no event");
        return event;
    }

    @Test(dataProvider = "failures")
    public void failedStartIsReportedAsUnansweredSinceItMayHaveBeenSent(boolean thrown) throws InterruptedException {
        PoolEffect.Start start = new PoolEffect.Start(ENDPOINT, 1, RUN, "", 1_000);
        performer(thrown).perform(start);
        assertEquals(nextEvent(), new PoolEvent.StartEnded(start, StartResult.UNANSWERED));
    }

    @Test(dataProvider = "failures")
    public void failedStopIsReportedAsNotAccepted(boolean thrown) throws InterruptedException {
        PoolEffect.Stop stop = new PoolEffect.Stop(ENDPOINT, 1, RUN);
        performer(thrown).perform(stop);
        assertEquals(nextEvent(), new PoolEvent.StopEnded(stop, false));
    }

    @Test(dataProvider = "failures")
    public void failedRenewalIsReportedAsUnanswered(boolean thrown) throws InterruptedException {
        PoolEffect.RenewLeases renewal = new PoolEffect.RenewLeases(ENDPOINT, 1, 0, 0, 1_000, 0);
        performer(thrown).perform(renewal);
        assertEquals(
                nextEvent(),
                new PoolEvent.LeaseRenewalEnded(renewal, new LeaseRenewalResult.Unanswered("no event loop")));
    }

    @Test(dataProvider = "failures")
    public void failedClaimIsReportedAsUnansweredSinceItMayHaveBeenAppended(boolean thrown)
            throws InterruptedException {
        performer(thrown).perform(new PoolEffect.Claim(3, SELF));
        assertEquals(nextEvent(), new PoolEvent.ClaimEnded(SELF, new ClaimResult.Unanswered()));
    }

    @Test
    public void thrownFailureIsNotPublishedByTheCoreThreadWhoseRingMayBeFull() throws InterruptedException {
        performer(true).perform(new PoolEffect.Claim(3, SELF));
        nextEvent();
        assertNotEquals(publisher, Thread.currentThread());
    }

    /** The event loop runs what it is given before the core's thread goes on. */
    @Test
    public void thrownFailureIsNotPublishedByTheCoreThreadWhenTheEventLoopIsFaster() throws InterruptedException {
        EventLoopGroup slow = group;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()) {
            @Override
            public void execute(Runnable task) {
                next().submit(task).syncUninterruptibly();
            }
        };
        try {
            performer(true).perform(new PoolEffect.Claim(3, SELF));
            nextEvent();
            assertNotEquals(publisher, Thread.currentThread());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            group = slow;
        }
    }

    @Test
    public void disconnectsThatWaitAtTheEventLoopAreReportedBeforeTheCheckOfCallers() throws InterruptedException {
        EffectPerformer p = performer(false);
        group.next().execute(() -> publish(new PoolEvent.CallerDisconnected(7)));
        p.perform(new PoolEffect.CheckCallers(1_000));
        assertEquals(nextEvent(), new PoolEvent.CallerDisconnected(7));
        assertEquals(nextEvent(), new PoolEvent.CallersChecked(1_000));
    }

    @Test(dataProvider = "failures")
    public void failuresOfEffectsWithoutResultDoNotThrow(boolean thrown) {
        EffectPerformer p = performer(thrown);
        p.perform(new PoolEffect.ReadOwnership());
        p.perform(new PoolEffect.LinkOwner("not an address", 1));
        p.perform(new PoolEffect.SendToOwner(new PoolMessage.WithdrawJob("job")));
        p.perform(new PoolEffect.SendToEntry(SELF, new PoolMessage.NotOwner(1)));
    }

    @Test(dataProvider = "failures")
    public void failedReadOfTheEndpointsIsRepeatedAfterTheInterval(boolean thrown) {
        performer(thrown);
        FailingStore store = new FailingStore(thrown);
        EndpointListPoller list = new EndpointListPoller(store, this::publish);
        list.setOwner(true);
        list.poll(10_000);
        list.poll(10_399);
        assertEquals(store.listReads().get(), 1);
        list.poll(10_400);
        assertEquals(store.listReads().get(), 2);
    }
}
