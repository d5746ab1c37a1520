package org.gooseberrypier.load.workload;

/**
 * A task of a generated job.
 *
 * @param serviceMs the actual run time on an endpoint of speed 1, in milliseconds
 * @param declaredMs the run time that the caller declares, in milliseconds
 */
public record TaskPlan(long serviceMs, long declaredMs) {}
