package org.gooseberrypier.internal.placement;

import org.gooseberrypier.event.Event;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;

/** Decides how many slots of each endpoint this VM may use, and which free endpoint comes first. */
interface PlacementPolicy {

    /**
     * Returns how many slots this VM may use.
     *
     * @param endpoint an endpoint that is healthy
     * @param nowMs the time in milliseconds since the epoch
     * @return the number of slots
     */
    int usableSlots(EndpointState endpoint, long nowMs);

    /**
     * Ranks an endpoint among the free ones of a work.
     *
     * @param entry the endpoint and the work
     * @param context the source of random numbers
     * @return the rank, the smallest is taken first
     */
    double rank(EndpointWork entry, Context context);

    /**
     * Gives the policy the index that it works for.
     *
     * @param index the index
     */
    default void attach(EndpointIndex index) {}

    /**
     * Reacts to an event before tasks are placed.
     *
     * @param event the event
     * @param context the time and the way out
     */
    default void handle(Event event, Context context) {}

    /**
     * Reacts to a task that took slots of an endpoint.
     *
     * @param endpoint the endpoint
     */
    default void taskStarted(EndpointState endpoint) {}

    /**
     * Reacts to a slot that became free.
     *
     * @param endpoint the endpoint
     * @param context the time and the way out
     */
    default void slotsReleased(EndpointState endpoint, Context context) {}

    /**
     * Reacts to a work whose waiting tasks find no free endpoint.
     *
     * @param pool the work
     * @param context the time and the way out
     */
    default void noFreeEndpoint(WorkPool pool, Context context) {}

    /**
     * Reacts to another set of VMs or endpoints.
     *
     * @param context the time and the way out
     */
    default void configurationChanged(Context context) {}
}
