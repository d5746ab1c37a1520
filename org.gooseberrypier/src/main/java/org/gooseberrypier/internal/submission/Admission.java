package org.gooseberrypier.internal.submission;

import java.util.Optional;

import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.Submission;

/** Decides at the home, before anything is recorded or queued, whether a submission must be refused. */
public interface Admission {

    /**
     * Checks a submission against endpoints, quotas, queue bounds and its deadline.
     *
     * @param submission the submission
     * @param nowMs the time in milliseconds since the epoch
     * @return the refusal, empty if the submission may go on
     */
    Optional<Answer.NotRun> check(Submission submission, long nowMs);
}
