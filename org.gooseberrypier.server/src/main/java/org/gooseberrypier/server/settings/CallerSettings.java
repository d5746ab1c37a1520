package org.gooseberrypier.server.settings;

/**
 * The limits of the callers' listener.
 *
 * @param listener the limits of each connection
 * @param maxCalls maximum number of calls that wait for an answer
 * @param maxBufferedBytes maximum total size of the bodies of all unanswered requests, in bytes
 */
public record CallerSettings(ListenerSettings listener, int maxCalls, long maxBufferedBytes) {}
