package org.gooseberrypier.internal.engine;

/** The action that a timer runs when it is due. */
@FunctionalInterface
public interface TimerAction {

    /**
     * Runs the action.
     *
     * @param context the services of the engine
     */
    void run(Context context);
}
