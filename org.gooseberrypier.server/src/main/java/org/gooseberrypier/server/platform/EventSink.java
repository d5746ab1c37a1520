package org.gooseberrypier.server.platform;

import org.gooseberrypier.event.Event;

/** Where the events of the platform go. */
@FunctionalInterface
interface EventSink {

    /**
     * Offers an event without waiting.
     *
     * @param event the event
     * @return whether there was room for it
     */
    boolean offer(Event event);
}
