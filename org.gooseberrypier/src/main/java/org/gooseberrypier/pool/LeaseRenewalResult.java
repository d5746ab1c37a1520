package org.gooseberrypier.pool;

import java.util.List;

/** What came of a call that renews an endpoint's leases and asks what runs there. */
public sealed interface LeaseRenewalResult {

    /**
     * The endpoint renewed the leases.
     *
     * @param clockMs the endpoint's clock when it answered, in milliseconds
     * @param incarnation the number of the endpoint's life
     * @param running what runs there
     * @param ends the ends that were not yet taken note of, in their order
     */
    record Held(long clockMs, long incarnation, List<RunProgress> running, List<RunEnd> ends)
            implements LeaseRenewalResult {

        /** Copies the lists. */
        public Held {
            running = List.copyOf(running);
            ends = List.copyOf(ends);
        }
    }

    /**
     * The endpoint answered, but did not renew.
     *
     * @param cause why
     */
    record Rejected(Rejection cause) implements LeaseRenewalResult {}

    /**
     * No answer came in time, or the endpoint could not be reached.
     *
     * @param reason what failed, for the log
     */
    record Unanswered(String reason) implements LeaseRenewalResult {}

    /** Why an endpoint does not renew. */
    enum Rejection {
        /** It has seen a higher fencing token. */
        FENCED,
        /** It is another life than the one that was meant. */
        OTHER_INCARNATION,
        /** It calls itself unhealthy or answered something that can not be read. */
        UNHEALTHY
    }
}
