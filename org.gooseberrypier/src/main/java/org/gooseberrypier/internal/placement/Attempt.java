package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.EndpointWork;

/**
 * One task that was sent to an endpoint and whose end has not come back.
 *
 * @param id its number
 * @param job the job
 * @param taskIndex the place of the task in its job
 * @param target where it was sent
 * @param slots how many slots it takes
 * @param startedAtMs when it was sent, in milliseconds since the epoch
 */
record Attempt(long id, JobTasks job, int taskIndex, EndpointWork target, int slots, long startedAtMs) {}
