package org.gooseberrypier.lib;

import java.util.Objects;

/**
 * The identifier of a job, unique across all VMs.
 *
 * <p>A keyed job is identified by its team and idempotency key, so that a resubmission has the same identifier. A job
 * without a key is identified by the member that received it and a sequence number.
 *
 * @param value the text form
 */
public record JobId(String value) {

    /** Checks that the value is not null. */
    public JobId {
        Objects.requireNonNull(value, "value");
    }

    /**
     * Returns the identifier of a keyed job.
     *
     * @param team the team that submits the job
     * @param key the idempotency key
     * @return the identifier
     */
    public static JobId keyed(TeamId team, String key) {
        return new JobId("k/" + team.name() + "/" + key);
    }

    /**
     * Returns the identifier of a job without a key.
     *
     * @param home the member that received the job
     * @param sequence the sequence number of the job at that member
     * @return the identifier
     */
    public static JobId keyless(Member home, long sequence) {
        return new JobId("n/" + home.vm().name() + "/" + Long.toHexString(home.incarnation()) + "/"
                + Long.toHexString(sequence));
    }

    @Override
    public String toString() {
        return value;
    }
}
