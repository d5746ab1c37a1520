package org.gooseberrypier.peer;

import java.util.Objects;
import java.util.Optional;

import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;

/**
 * What the holders of a shard remember of one idempotency key.
 *
 * @param job the identity of the keyed job
 * @param digest the SHA-256 digest of the submission
 * @param submittedAtMs when the caller first submitted, in milliseconds since the epoch by its own clock; the time of
 *     the record where the key says nothing
 * @param hasSubmissionTime whether the key itself says when it was submitted
 * @param deadlineAtMs when the job's answer is of no use any more, in milliseconds since the epoch
 * @param tasks how many tasks the job has
 * @param owner the member that runs the job
 * @param ended whether the job has its final answer
 * @param answer the final answer, empty while the job runs or once its bytes are no longer kept
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

    /** Checks that nothing is missing. */
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
