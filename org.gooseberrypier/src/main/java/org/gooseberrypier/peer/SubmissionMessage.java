package org.gooseberrypier.peer;

import org.gooseberrypier.effect.JobStatus;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TeamId;

/** A message about submissions: requests forwarded to the home of a key, and records stored at its backup. */
public sealed interface SubmissionMessage extends PeerMessage {

    /**
     * Requests that the home of a keyed submission runs the job or, if it already runs, joins it; idempotent.
     *
     * @param origin the member that the caller is connected to
     * @param request the number of the request at that member
     * @param hops the number of times that the message was forwarded
     * @param submission the submission
     */
    record Forward(Member origin, long request, int hops, Submission submission) implements SubmissionMessage {}

    /**
     * Answers {@link Forward}.
     *
     * @param origin the member that the caller is connected to
     * @param request the number of the request at that member
     * @param answer the answer
     */
    record ForwardAnswer(Member origin, long request, Answer answer) implements SubmissionMessage {}

    /**
     * Requests the status of a job, or its cancellation, from the home of its key; idempotent.
     *
     * @param origin the member that the caller is connected to
     * @param request the number of the request at that member
     * @param hops the number of times that the message was forwarded
     * @param team the team that submitted the job
     * @param key the idempotency key
     * @param cancel whether the job is to be cancelled
     */
    record StatusRequest(Member origin, long request, int hops, TeamId team, IdempotencyKey key, boolean cancel)
            implements SubmissionMessage {}

    /**
     * Answers {@link StatusRequest}.
     *
     * @param origin the member that the caller is connected to
     * @param request the number of the request at that member
     * @param status the status of the job
     */
    record StatusReply(Member origin, long request, JobStatus status) implements SubmissionMessage {}

    /**
     * Requests that the backup stores the record of a key before its job starts; idempotent.
     *
     * @param view the number of the zone view under which the job is to start
     * @param shard the shard of the key
     * @param record the record
     */
    record PutRecord(long view, int shard, KeyRecord record) implements SubmissionMessage {}

    /**
     * Confirms to the primary that its record is stored.
     *
     * @param view the number of the zone view of the record
     * @param shard the shard of the key
     * @param job the job
     * @param ended whether the stored record has a final answer
     */
    record RecordHeld(long view, int shard, JobId job, boolean ended) implements SubmissionMessage {}

    /**
     * Sends the final answer of a job to a holder of its key; idempotent.
     *
     * @param shard the shard of the key
     * @param record the record with the answer
     * @param acknowledge whether the receiver is to send an acknowledgement
     */
    record FinishedRecord(int shard, KeyRecord record, boolean acknowledge) implements SubmissionMessage {}

    /**
     * Acknowledges {@link FinishedRecord}.
     *
     * @param job the job
     */
    record FinishedHeld(JobId job) implements SubmissionMessage {}
}
