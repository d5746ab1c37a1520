package org.gooseberrypier.api;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.event.LifecycleEvent;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class DispatcherTest {

    private final DispatcherSettings settings = DispatcherSettings.builder(
                    new Member(new VmId("ada"), 7), new ZoneId("tartu-a"))
            .build();

    @Test
    public void invariantViolationIsReportedWithTheStateAndStopsTheCore() throws Exception {
        CompletableFuture<String> fatal = new CompletableFuture<>();
        Dispatcher dispatcher = Dispatcher.builder(settings, e -> {})
                .ringSize(64)
                .onFatal((error, core) ->
                        fatal.complete(error.getMessage() + " " + core.board().describe()))
                .build();
        dispatcher.start();
        dispatcher.inspect(core -> {
            throw new InvariantViolationException("broken");
        });
        String reported = fatal.get(20, TimeUnit.SECONDS);
        assertTrue(reported.startsWith("broken self=ada#7 ticket=0"), reported);
        for (int i = 0; i < 1_000; i++) {
            dispatcher.publish(new LifecycleEvent.Tick());
        }
        assertFalse(dispatcher.tryPublish(new LifecycleEvent.Tick()), "no event is accepted after the fatal error");
    }

    @Test
    public void timersRunWithoutEvents() throws Exception {
        List<Effect> effects = new CopyOnWriteArrayList<>();
        try (Dispatcher dispatcher = Dispatcher.builder(settings, effects::add).build()) {
            dispatcher.start();
            dispatcher.publish(new LifecycleEvent.StopRequested());
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (effects.stream().noneMatch(e -> e instanceof Effect.Exit)) {
                assertTrue(System.nanoTime() < end, "no exit effect within 20 s");
                Thread.sleep(2);
            }
        }
    }

    @Test
    public void publishWaitsWhileTheRingIsFull() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        try (Dispatcher dispatcher =
                Dispatcher.builder(settings, e -> {}).ringSize(64).build()) {
            dispatcher.start();
            dispatcher.inspect(core -> release.join());
            Thread publisher = new Thread(() -> {
                for (int i = 0; i < 500; i++) {
                    dispatcher.publish(new LifecycleEvent.Tick());
                }
            });
            publisher.start();
            while (dispatcher.waitingEvents() < 64) {
                Thread.sleep(2);
            }
            assertFalse(dispatcher.tryPublish(new LifecycleEvent.Tick()));
            assertTrue(publisher.isAlive());
            release.complete(null);
            publisher.join(20_000);
            assertFalse(publisher.isAlive());
        }
    }
}
