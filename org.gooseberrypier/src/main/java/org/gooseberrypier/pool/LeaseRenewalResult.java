package org.gooseberrypier.pool;

import java.util.List;

/** Result of a call that renews the leases of an endpoint and lists its runs. */
public sealed interface LeaseRenewalResult {

    /**
     * The endpoint renewed the leases.
     *
     * @param clockMs the endpoint's clock when it answered, in milliseconds
     * @param incarnation the number of the endpoint's incarnation
     * @param running the runs that exist at the endpoint
     * @param ends the ends of runs that have not been acknowledged, in the order of their sequence numbers
     */
    record Held(long clockMs, long incarnation, List<RunProgress> running, List<RunEnd> ends)
            implements LeaseRenewalResult {

        /** Makes immutable copies of the lists. */
        public Held {
            running = List.copyOf(running);
            ends = List.copyOf(ends);
        }
    }

    /**
     * The endpoint answered, but did not renew the leases.
     *
     * @param cause the cause
     */
    record Rejected(Rejection cause) implements LeaseRenewalResult {}

    /**
     * The endpoint did not answer in time or could not be reached.
     *
     * @param reason the cause of the failure, for the log
     * @param refused whether the connection was refused, since nothing listens at the address
     */
    record Unanswered(String reason, boolean refused) implements LeaseRenewalResult {

        /**
         * Creates the result of a call whose connection was not refused.
         *
         * @param reason the cause of the failure, for the log
         */
        public Unanswered(String reason) {
            this(reason, false);
        }
    }

    /** Cause for which an endpoint does not renew its leases. */
    enum Rejection {
        /** The endpoint has seen a higher fencing token. */
        FENCED,
        /** The endpoint runs under another incarnation than the addressed one. */
        OTHER_INCARNATION,
        /** The endpoint reports itself as unhealthy, or its answer cannot be parsed. */
        UNHEALTHY
    }
}
