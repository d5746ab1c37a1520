package org.gooseberrypier.server.peer;

import org.gooseberrypier.event.PeerEvent;

/** Takes what comes from peers. */
@FunctionalInterface
interface PeerEventSink {

    /**
     * Takes one event.
     *
     * @param event the event
     */
    void publish(PeerEvent event);
}
