package org.gooseberrypier.internal.engine;

import org.apache.commons.rng.UniformRandomProvider;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.InternalEvent;

/** The services of the engine that controllers use while they handle an event or a timer. */
public interface Context {

    /**
     * Returns the time of the event; it never decreases.
     *
     * @return milliseconds since the epoch by this VM's clock
     */
    long nowMs();

    /**
     * Passes an effect to the sink.
     *
     * @param effect the effect to perform
     */
    void emit(Effect effect);

    /**
     * Queues an event for all controllers; it is handled after the current event and all events raised before.
     *
     * @param event the event
     */
    void raise(InternalEvent event);

    /**
     * Schedules an action.
     *
     * @param atMs the time to run it, in milliseconds since the epoch
     * @param action the action
     * @return the timer, by which the action can be cancelled
     */
    Timer schedule(long atMs, TimerAction action);

    /**
     * Returns a number that this method has not returned before in this process.
     *
     * @return the number, from 1
     */
    long nextId();

    /**
     * Returns the seeded random number generator.
     *
     * @return the generator
     */
    UniformRandomProvider random();
}
