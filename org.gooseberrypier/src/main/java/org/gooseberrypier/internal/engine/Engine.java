package org.gooseberrypier.internal.engine;

import java.util.ArrayDeque;
import java.util.List;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.gooseberrypier.api.EffectSink;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.InternalEvent;

/** Dispatches events and timers to the controllers, one at a time on one thread. */
public final class Engine {

    private final List<Controller> controllers;
    private final EffectSink sink;
    private final UniformRandomProvider random;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ArrayDeque<InternalEvent> raised = new ArrayDeque<>();
    private final Context context = new EngineContext();
    private long nowMs;
    private long lastId;
    private long lastTimerSequence;

    /**
     * Creates an engine.
     *
     * @param controllers the controllers, in the order in which they handle each event
     * @param sink receives the effects
     * @param random the seeded random number generator
     */
    public Engine(List<Controller> controllers, EffectSink sink, UniformRandomProvider random) {
        this.controllers = List.copyOf(controllers);
        this.sink = sink;
        this.random = random;
    }

    /**
     * Runs all timers that are due, then handles one event and all events that it raises.
     *
     * @param event the event
     * @param eventMs its time in milliseconds since the epoch; a time before the current one is replaced by
     *     the current one
     */
    public void handle(Event event, long eventMs) {
        advance(eventMs);
        dispatch(event);
    }

    /**
     * Runs all timers that are due.
     *
     * @param timeMs the time in milliseconds since the epoch
     */
    public void advance(long timeMs) {
        nowMs = Math.max(nowMs, timeMs);
        Timer next = timers.peek();
        while (next != null && (next.isCancelled() || next.atMs() <= nowMs)) {
            timers.poll();
            next.run(context);
            drainRaised();
            next = timers.peek();
        }
    }

    /**
     * Returns the time at which the next timer is due.
     *
     * @return milliseconds since the epoch, {@link Long#MAX_VALUE} if there is none
     */
    public long nextTimerAtMs() {
        Timer next = timers.peek();
        return next == null ? Long.MAX_VALUE : next.atMs();
    }

    private void dispatch(Event event) {
        deliver(event);
        drainRaised();
    }

    private void drainRaised() {
        InternalEvent next = raised.poll();
        while (next != null) {
            deliver(next);
            next = raised.poll();
        }
    }

    private void deliver(Event event) {
        for (Controller c : controllers) {
            c.handle(event, context);
        }
    }

    private final class EngineContext implements Context {

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public void emit(Effect effect) {
            sink.accept(effect);
        }

        @Override
        public void raise(InternalEvent event) {
            raised.add(event);
        }

        @Override
        public Timer schedule(long atMs, TimerAction action) {
            Timer timer = new Timer(atMs, ++lastTimerSequence, action);
            timers.add(timer);
            return timer;
        }

        @Override
        public long nextId() {
            return ++lastId;
        }

        @Override
        public UniformRandomProvider random() {
            return random;
        }
    }
}
