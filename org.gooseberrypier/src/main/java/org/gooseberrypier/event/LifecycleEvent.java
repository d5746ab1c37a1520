package org.gooseberrypier.event;

/** An event in the life of this process. */
public sealed interface LifecycleEvent extends Event {

    /** The process started. */
    record Started() implements LifecycleEvent {}

    /** A graceful stop of the process was requested. */
    record StopRequested() implements LifecycleEvent {}

    /** Time passed; the engine raises it by itself at least every {@code tickMs}. */
    record Tick() implements LifecycleEvent {}
}
