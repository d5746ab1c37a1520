package org.gooseberrypier.log;

import org.gooseberrypier.lib.Payload;

/**
 * One record of a stream.
 *
 * @param offset the offset in the stream, from 0, never reused
 * @param appendedAtMs the time of the append, in milliseconds since the epoch by the platform's clock
 * @param data the content
 */
public record LogRecord(long offset, long appendedAtMs, Payload data) {}
