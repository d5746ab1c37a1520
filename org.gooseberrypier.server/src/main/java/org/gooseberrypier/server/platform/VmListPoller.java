package org.gooseberrypier.server.platform;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.event.LogEvent;

/** Reads the list of VMs again and again. */
final class VmListPoller {

    private static final long INTERVAL_MS = 3_000;
    private static final long JITTER_MS = 1_000;

    private final PlatformClient client;
    private final ScheduledExecutorService timers;
    private final EventSink outlet;
    private volatile boolean closed;

    VmListPoller(PlatformClient client, ScheduledExecutorService timers, EventSink outlet) {
        this.client = client;
        this.timers = timers;
        this.outlet = outlet;
    }

    void start() {
        poll();
    }

    void close() {
        closed = true;
    }

    private void poll() {
        if (closed) {
            return;
        }
        client.listVms().whenComplete((list, error) -> {
            if (error == null) {
                outlet.offer(new LogEvent.VmsListed(list.live(), list.leaving()));
            }
            long delayMs = INTERVAL_MS + ThreadLocalRandom.current().nextLong(JITTER_MS);
            timers.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
        });
    }
}
