package org.gooseberrypier.internal.submission;

import java.util.Optional;

import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.Submission;

/** Decides, before a submission is recorded or queued, whether it must be refused. */
public interface Admission {

    /**
     * Checks a submission against endpoints, quotas, queue limits and its deadline.
     *
     * @param submission the submission
     * @param nowMs the time in milliseconds since the epoch
     * @return the refusal, empty if the submission is admitted
     */
    Optional<Answer.NotRun> check(Submission submission, long nowMs);
}
