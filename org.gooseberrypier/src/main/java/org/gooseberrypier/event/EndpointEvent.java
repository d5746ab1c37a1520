package org.gooseberrypier.event;

import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.TaskReply;

/** An event caused by an endpoint. */
public sealed interface EndpointEvent extends Event {

    /**
     * An attempt to run a task ended.
     *
     * @param attempt the number of the attempt, unique in this process
     * @param reply the result of the attempt
     */
    record Replied(long attempt, TaskReply reply) implements EndpointEvent {}

    /**
     * A probe of an endpoint's connections ended.
     *
     * @param endpoint the endpoint
     * @param alive whether it answered in time
     */
    record Probed(EndpointId endpoint, boolean alive) implements EndpointEvent {}
}
