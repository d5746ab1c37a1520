package org.gooseberrypier.load.client;

/**
 * One task of a job to submit.
 *
 * @param id the caller's identifier of the task, unique in its job
 * @param body the text that the endpoint gets
 * @param declaredMs the declared run time in milliseconds, 0 if unknown
 */
public record JobTask(String id, String body, long declaredMs) {}
