package org.gooseberrypier.server.peer;

import org.gooseberrypier.event.PeerEvent;

/** Receives the events about peers. */
@FunctionalInterface
interface PeerEventSink {

    /**
     * Handles one event.
     *
     * @param event the event
     */
    void publish(PeerEvent event);
}
