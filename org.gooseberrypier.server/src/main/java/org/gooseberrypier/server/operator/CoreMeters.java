package org.gooseberrypier.server.operator;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.gooseberrypier.api.Core;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;

/** Exports the counters and sizes of the core as metrics, as of the last {@link #update}. */
final class CoreMeters {

    private static final String PREFIX = "gooseberrypier.core.";

    private final AtomicLongArray counts = new AtomicLongArray(Counter.values().length);
    private volatile Sizes sizes = new Sizes(0, 0, 0, 0, 0);

    CoreMeters(MeterRegistry meters) {
        for (Counter c : Counter.values()) {
            String name = PREFIX + c.name().toLowerCase(Locale.ROOT).replace('_', '.');
            FunctionCounter.builder(name, counts, a -> a.get(c.ordinal())).register(meters);
        }
        Gauge.builder(PREFIX + "ticket.number", this, m -> m.sizes.ticket())
                .description("The ticket in force")
                .register(meters);
        Gauge.builder(PREFIX + "jobs.kept", this, m -> m.sizes.jobs())
                .description("Jobs that are running or kept")
                .register(meters);
        Gauge.builder(PREFIX + "queue.tasks", this, m -> m.sizes.queuedTasks())
                .description("Tasks that wait for an endpoint")
                .register(meters);
        Gauge.builder(PREFIX + "queue.bytes", this, m -> m.sizes.queuedBytes())
                .description("Bytes of the tasks that wait for an endpoint")
                .register(meters);
        Gauge.builder(PREFIX + "endpoints.known", this, m -> m.sizes.endpoints())
                .description("Endpoints of the ticket, and those still draining")
                .register(meters);
    }

    /** Copies the counters and sizes; must be called on the core's thread. */
    void update(Core core) {
        Blackboard board = core.board();
        for (Counter c : Counter.values()) {
            counts.set(c.ordinal(), board.counters().get(c));
        }
        sizes = new Sizes(
                board.tickets().inForce().number(),
                board.submissions().jobs().size(),
                board.queue().tasks(),
                board.queue().bytes(),
                board.endpoints().states().size());
    }

    private record Sizes(long ticket, int jobs, int queuedTasks, long queuedBytes, int endpoints) {}
}
