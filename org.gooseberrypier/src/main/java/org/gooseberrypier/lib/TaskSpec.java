package org.gooseberrypier.lib;

import java.util.Objects;

/**
 * One task of a submission, as stated by its caller.
 *
 * @param id the caller's identifier of the task, unique in its submission
 * @param body the body that is sent to the endpoint
 * @param declaredMs the declared run time in milliseconds, 0 if unknown; often wrong
 * @param resources the declared resources; often wrong
 */
public record TaskSpec(String id, Payload body, long declaredMs, Resources resources) {

    /** Checks that no reference is null. */
    public TaskSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(resources, "resources");
    }
}
