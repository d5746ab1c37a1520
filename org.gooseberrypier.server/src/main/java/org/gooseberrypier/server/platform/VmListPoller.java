package org.gooseberrypier.server.platform;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.event.LogEvent;

/** Polls the platform's list of VMs at a fixed interval with jitter; a failed read is skipped. */
final class VmListPoller {

    private static final long INTERVAL_MS = 3_000;
    private static final long JITTER_MS = 1_000;

    private final PlatformClient client;
    private final ScheduledExecutorService timers;
    private final EventSink sink;
    private volatile boolean closed;

    VmListPoller(PlatformClient client, ScheduledExecutorService timers, EventSink sink) {
        this.client = client;
        this.timers = timers;
        this.sink = sink;
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
                sink.offer(new LogEvent.VmsListed(list.live(), list.leaving()));
            }
            long delayMs = INTERVAL_MS + ThreadLocalRandom.current().nextLong(JITTER_MS);
            timers.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
        });
    }
}
