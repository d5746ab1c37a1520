package org.gooseberrypier.event;

/** Something that concerns this process. */
public sealed interface LifecycleEvent extends Event {

    /** The process starts. */
    record Started() implements LifecycleEvent {}

    /** The process is asked to stop gracefully. */
    record StopRequested() implements LifecycleEvent {}

    /** Time passed; the engine raises it by itself at least every {@code tickMs}. */
    record Tick() implements LifecycleEvent {}
}
