package org.gooseberrypier.standin.endpoint;

/** Receives events of stand-in endpoints. Called on their event loops. */
public interface EndpointListener {

    /** Ignores all events. */
    EndpointListener NONE = start -> {};

    /**
     * Called once for each start of a task.
     *
     * @param start the start
     */
    void started(TaskStart start);

    /**
     * Called for each task that was started and answered as failed.
     *
     * @param start the start
     */
    default void failed(TaskStart start) {}

    /**
     * Called for each task answered with "not run": no slot was free, or the mode is {@link FailureMode#REFUSE}.
     *
     * @param endpoint the name of the endpoint
     */
    default void refused(String endpoint) {}

    /**
     * Called for each started task whose result cannot be used.
     *
     * @param start the start
     * @param reason why the result cannot be used
     */
    default void wasted(TaskStart start, Waste reason) {}

    /** Reason why the result of a task cannot be used. */
    enum Waste {
        /** The connection of the request closed before the reply. */
        CALLER_DISCONNECTED,
        /** The task ended after the deadline that was sent with it. */
        PAST_DEADLINE
    }
}
