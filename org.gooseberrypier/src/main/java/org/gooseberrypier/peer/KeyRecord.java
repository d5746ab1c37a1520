package org.gooseberrypier.peer;

import java.util.Objects;
import java.util.Optional;

import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;

/**
 * The record of one idempotency key, kept by the holders of its shard.
 *
 * @param job the identifier of the keyed job
 * @param digest the SHA-256 digest of the submission
 * @param submittedAtMs the time of the first submission, in milliseconds since the epoch by the caller's clock; if the
 *     key has no submission time, the time at which the record was created
 * @param hasSubmissionTime whether the key has a submission time
 * @param deadlineAtMs the time after which the answer is no longer needed, in milliseconds since the epoch
 * @param tasks the number of tasks of the job
 * @param owner the member that runs the job
 * @param ended whether the job has its final answer
 * @param answer the final answer, empty while the job runs or when its bytes are no longer kept
 */
public record KeyRecord(
        JobId job,
        Payload digest,
        long submittedAtMs,
        boolean hasSubmissionTime,
        long deadlineAtMs,
        int tasks,
        Member owner,
        boolean ended,
        Optional<Answer> answer) {

    /** Checks that no reference is null. */
    public KeyRecord {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(answer, "answer");
    }

    /**
     * Returns the record of the same key with its final answer.
     *
     * @param value the final answer
     * @return the new record
     */
    public KeyRecord withAnswer(Answer value) {
        return new KeyRecord(
                job, digest, submittedAtMs, hasSubmissionTime, deadlineAtMs, tasks, owner, true, Optional.of(value));
    }

    /**
     * Returns the record of the same key without the bytes of its answer.
     *
     * @return the new record
     */
    public KeyRecord withoutAnswer() {
        return new KeyRecord(
                job, digest, submittedAtMs, hasSubmissionTime, deadlineAtMs, tasks, owner, ended, Optional.empty());
    }
}
