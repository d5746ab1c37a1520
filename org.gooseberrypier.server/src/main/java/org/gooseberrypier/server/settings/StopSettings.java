package org.gooseberrypier.server.settings;

/**
 * The timeouts of a graceful stop.
 *
 * @param workTimeoutMs timeout for work in flight, in milliseconds
 * @param flushTimeoutMs timeout until callers and peers have read their answers afterwards, in milliseconds
 */
public record StopSettings(long workTimeoutMs, long flushTimeoutMs) {}
