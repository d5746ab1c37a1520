package org.gooseberrypier.lib;

/**
 * The result of one task that succeeded.
 *
 * @param id the caller's identifier of the task
 * @param body the body of the endpoint's reply
 */
public record TaskResult(String id, Payload body) {}
