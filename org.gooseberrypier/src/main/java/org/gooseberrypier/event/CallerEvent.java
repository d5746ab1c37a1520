package org.gooseberrypier.event;

import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TeamId;

/** An event caused by a caller. */
public sealed interface CallerEvent extends Event {

    /**
     * A caller submits a job.
     *
     * @param call the number of the call, unique in this process
     * @param submission the job
     */
    record Submitted(long call, Submission submission) implements CallerEvent {}

    /**
     * A caller requests the status of a keyed job.
     *
     * @param call the number of the call
     * @param team the team that submitted the job
     * @param key the idempotency key
     */
    record StatusRequested(long call, TeamId team, org.gooseberrypier.lib.IdempotencyKey key) implements CallerEvent {}

    /**
     * A caller requests the cancellation of a keyed job.
     *
     * @param call the number of the call
     * @param team the team that submitted the job
     * @param key the idempotency key
     */
    record CancelRequested(long call, TeamId team, org.gooseberrypier.lib.IdempotencyKey key) implements CallerEvent {}

    /**
     * A caller's connection closed before its call was answered.
     *
     * @param call the number of the call
     */
    record Disconnected(long call) implements CallerEvent {}
}
