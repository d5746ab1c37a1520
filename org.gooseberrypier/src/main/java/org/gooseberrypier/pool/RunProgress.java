package org.gooseberrypier.pool;

/**
 * Progress of a run that an endpoint lists as running.
 *
 * @param run the run
 * @param percent the share of its work that is done, 0 to 100
 */
public record RunProgress(RunId run, int percent) {}
