package org.gooseberrypier.pool;

/**
 * A run that an endpoint lists as running.
 *
 * @param run the run
 * @param percent how much of its work is done, 0 to 100
 */
public record RunProgress(RunId run, int percent) {}
