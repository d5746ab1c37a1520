package org.gooseberrypier.event;

/** An input of the core. */
public sealed interface Event permits CallerEvent, EndpointEvent, PeerEvent, LogEvent, LifecycleEvent, InternalEvent {}
