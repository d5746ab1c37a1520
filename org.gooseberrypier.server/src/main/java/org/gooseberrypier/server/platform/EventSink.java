package org.gooseberrypier.server.platform;

import org.gooseberrypier.event.Event;

/** Receives the events about the platform. */
@FunctionalInterface
interface EventSink {

    /**
     * Offers an event without blocking.
     *
     * @param event the event
     * @return {@code false} if the event was rejected because the event queue is full
     */
    boolean offer(Event event);
}
