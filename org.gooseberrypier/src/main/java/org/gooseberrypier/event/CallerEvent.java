package org.gooseberrypier.event;

import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TeamId;

/** Something that a caller did. */
public sealed interface CallerEvent extends Event {

    /**
     * A caller submits a job.
     *
     * @param call the call to answer, unique in this process
     * @param submission the job
     */
    record Submitted(long call, Submission submission) implements CallerEvent {}

    /**
     * A caller asks for the state of a keyed job.
     *
     * @param call the call to answer
     * @param team the team that submitted
     * @param key the idempotency key
     */
    record StatusRequested(long call, TeamId team, org.gooseberrypier.lib.IdempotencyKey key) implements CallerEvent {}

    /**
     * A caller cancels a keyed job.
     *
     * @param call the call to answer
     * @param team the team that submitted
     * @param key the idempotency key
     */
    record CancelRequested(long call, TeamId team, org.gooseberrypier.lib.IdempotencyKey key) implements CallerEvent {}

    /**
     * The caller's connection closed before its answer.
     *
     * @param call the call that nobody waits for any more
     */
    record Disconnected(long call) implements CallerEvent {}
}
