package org.gooseberrypier.server.settings;

/**
 * The limits of the dispatcher's state.
 *
 * @param maxQueuedTasks maximum number of tasks that wait at this VM
 * @param maxQueuedBytes maximum total size of the waiting tasks, in bytes
 * @param maxKeptAnswerBytes maximum total size of the answers that are kept for resubmissions, in bytes
 * @param maxKeys maximum number of keys that are recorded at this VM
 * @param maxClockSkewMs maximum difference between the clocks of callers and VMs, in milliseconds
 * @param creditReturnMs delay after which idle credits of scarce endpoints are returned, in milliseconds
 * @param maxWaitingEvents maximum number of events that wait for the core, a power of two
 */
public record CoreSettings(
        int maxQueuedTasks,
        long maxQueuedBytes,
        long maxKeptAnswerBytes,
        int maxKeys,
        long maxClockSkewMs,
        long creditReturnMs,
        int maxWaitingEvents) {}
