package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.EndpointWork;

/**
 * A task that was sent to an endpoint and for which no reply has been received.
 *
 * @param id the identifier of the attempt
 * @param job the tasks of the job
 * @param taskIndex the index of the task in its job
 * @param target the endpoint and the work
 * @param slots the number of slots that the task takes
 * @param startedAtMs when the task was sent, in milliseconds since the epoch
 */
record Attempt(long id, JobTasks job, int taskIndex, EndpointWork target, int slots, long startedAtMs) {}
