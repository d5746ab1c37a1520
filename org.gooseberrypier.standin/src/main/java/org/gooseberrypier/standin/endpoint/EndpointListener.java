package org.gooseberrypier.standin.endpoint;

/** Hears what happens at stand-in endpoints; called from their event loops. */
public interface EndpointListener {

    /** Hears nothing. */
    EndpointListener NONE = start -> {};

    /**
     * Called once for each start of a task.
     *
     * @param start the start
     */
    void started(TaskStart start);

    /**
     * Called for each task that started and failed.
     *
     * @param start the start
     */
    default void failed(TaskStart start) {}

    /**
     * Called for each task that was answered "not run" because no slot was free or the endpoint refuses work.
     *
     * @param endpoint the name of the endpoint
     */
    default void refused(String endpoint) {}

    /**
     * Called for each task that ended when its result was of no use any more.
     *
     * @param start the start
     * @param reason why
     */
    default void wasted(TaskStart start, Waste reason) {}

    /** Why the result of a task is of no use. */
    enum Waste {
        /** The connection of the request was closed. */
        CALLER_DISCONNECTED,
        /** The deadline that came with the task had passed. */
        PAST_DEADLINE
    }
}
