package org.gooseberrypier.internal.placement;

import org.gooseberrypier.event.Event;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;

/** Limits the slots of each endpoint that this VM may use, and ranks the endpoints with free slots. */
interface PlacementPolicy {

    /**
     * Returns how many slots of an endpoint this VM may use.
     *
     * @param endpoint a healthy endpoint, or one on probation
     * @param nowMs the time in milliseconds since the epoch
     * @return the number of slots
     */
    int usableSlots(EndpointState endpoint, long nowMs);

    /**
     * Ranks an endpoint among those with free slots that serve the same work.
     *
     * @param entry the endpoint and the work
     * @param context the engine context, for random numbers
     * @return the rank; the endpoint with the smallest rank is chosen first
     */
    double rank(EndpointWork entry, Context context);

    /**
     * Sets the index of the endpoints; called once, before any other method.
     *
     * @param index the index that calls this policy
     */
    default void attach(EndpointIndex index) {}

    /**
     * Handles an event before waiting tasks are placed.
     *
     * @param event the event
     * @param context the engine context
     */
    default void handle(Event event, Context context) {}

    /**
     * Handles the start of a task that took slots of an endpoint.
     *
     * @param endpoint the endpoint
     */
    default void taskStarted(EndpointState endpoint) {}

    /**
     * Handles the end of a task that released its slots of an endpoint.
     *
     * @param endpoint the endpoint
     * @param context the engine context
     */
    default void slotsReleased(EndpointState endpoint, Context context) {}

    /**
     * Handles a work whose waiting tasks found no endpoint with enough free slots.
     *
     * @param pool the endpoints and the waiting tasks of the work
     * @param context the engine context
     */
    default void noFreeEndpoint(WorkPool pool, Context context) {}

    /**
     * Handles a new configuration, which may have other VMs or endpoints.
     *
     * @param context the engine context
     */
    default void configurationChanged(Context context) {}
}
