package org.gooseberrypier.api;

import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberrypier.event.Event;
import org.gooseberrypier.internal.engine.EventRing;

/** Runs a {@link Core} on one Disruptor consumer thread. */
public final class Dispatcher implements AutoCloseable {

    private static final long MAX_SLEEP_MS = 100;

    private final Core core;
    private final LongSupplier clock;
    private final EventRing<Consumer<Core>> ring;

    private Dispatcher(Builder builder) {
        core = new Core(builder.settings, builder.sink);
        clock = builder.clock;
        ring = new EventRing<>(
                "dispatcher-core",
                builder.ringSize,
                (action, endOfBatch) -> action.accept(core),
                () -> core.advance(clock.getAsLong()),
                this::sleepMs,
                error -> builder.onFatalError.accept(error, core));
    }

    /**
     * Creates a builder.
     *
     * @param settings the settings of the core
     * @param sink receives the effects
     * @return the builder
     */
    public static Builder builder(DispatcherSettings settings, EffectSink sink) {
        return new Builder(settings, sink);
    }

    /** Starts the core's thread. */
    public void start() {
        ring.start();
    }

    /**
     * Publishes an event and blocks while the ring is full; after {@link #close()} the event is dropped.
     *
     * @param event the event
     */
    public void publish(Event event) {
        ring.publish(c -> c.handle(event, clock.getAsLong()));
    }

    /**
     * Publishes an event unless the ring is full or closed.
     *
     * @param event the event
     * @return whether it was published
     */
    public boolean tryPublish(Event event) {
        return ring.tryPublish(c -> c.handle(event, clock.getAsLong()));
    }

    /**
     * Runs a reader of the core's state on the core's thread, unless the ring is full or closed.
     *
     * @param reader the reader, which must not block
     */
    public void inspect(Consumer<Core> reader) {
        ring.tryPublish(reader);
    }

    /**
     * Returns the number of events that wait for the core.
     *
     * @return the number of events
     */
    public long waitingEvents() {
        return ring.waiting();
    }

    @Override
    public void close() {
        ring.close();
    }

    private long sleepMs() {
        long untilTimerMs = core.nextTimerAtMs() - clock.getAsLong();
        return Math.min(MAX_SLEEP_MS, Math.max(0, untilTimerMs));
    }

    /** Builds a dispatcher. */
    public static final class Builder {

        private static final int DEFAULT_RING_SIZE = 1 << 14;

        private final DispatcherSettings settings;
        private final EffectSink sink;
        private LongSupplier clock = System::currentTimeMillis;
        private BiConsumer<Throwable, Core> onFatalError = (error, core) -> error.printStackTrace();
        private int ringSize = DEFAULT_RING_SIZE;

        private Builder(DispatcherSettings settings, EffectSink sink) {
            this.settings = Objects.requireNonNull(settings, "settings");
            this.sink = Objects.requireNonNull(sink, "sink");
        }

        /**
         * Sets the clock.
         *
         * @param value supplies the time in milliseconds since the epoch
         * @return this builder
         */
        public Builder clock(LongSupplier value) {
            clock = value;
            return this;
        }

        /**
         * Sets the listener for an error of the core, such as a violated invariant; the core handles no event after it.
         *
         * @param value the listener, called on the core's thread with the error and the core in its state at the error
         * @return this builder
         */
        public Builder onFatal(BiConsumer<Throwable, Core> value) {
            onFatalError = value;
            return this;
        }

        /**
         * Sets the capacity of the ring.
         *
         * @param value the number of events, a power of two
         * @return this builder
         */
        public Builder ringSize(int value) {
            ringSize = value;
            return this;
        }

        /**
         * Builds a dispatcher that is not started yet.
         *
         * @return the dispatcher
         */
        public Dispatcher build() {
            return new Dispatcher(this);
        }
    }
}
