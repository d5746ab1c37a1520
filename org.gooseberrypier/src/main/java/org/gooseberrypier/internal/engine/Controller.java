package org.gooseberrypier.internal.engine;

import org.gooseberrypier.event.Event;

/** Handles the events of one concern of the core: it reads any section of the blackboard and writes only its own. */
public interface Controller {

    /**
     * Handles one event.
     *
     * @param event the event
     * @param context the services of the engine
     */
    void handle(Event event, Context context);
}
