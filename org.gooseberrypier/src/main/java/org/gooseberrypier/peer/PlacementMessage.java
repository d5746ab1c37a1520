package org.gooseberrypier.peer;

import java.util.List;

import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.WorkId;

/** A message about capacity: credits for the slots of endpoints. */
public sealed interface PlacementMessage extends PeerMessage {

    /**
     * The running totals of one VM's credits on one endpoint.
     *
     * @param endpoint the endpoint
     * @param session the number of the account, greater than that of any earlier account of the same owner process
     * @param granted the total number of credits granted, as far as the sender knows
     * @param returned the total number of credits returned, as far as the sender knows
     */
    record CreditTotals(EndpointId endpoint, long session, long granted, long returned) {}

    /**
     * Requests credits from the owner of endpoints.
     *
     * @param work the kind of work that waits
     * @param wanted the number of credits that the sender can use; replaces its previous request
     */
    record CreditDemand(WorkId work, int wanted) implements PlacementMessage {}

    /**
     * Reports to a borrower the totals of its credits for endpoints that the sender owns.
     *
     * @param totals one entry for each endpoint whose totals changed
     */
    record CreditGrant(List<CreditTotals> totals) implements PlacementMessage {

        /** Copies the list. */
        public CreditGrant {
            totals = List.copyOf(totals);
        }
    }

    /**
     * Reports to the owner of endpoints the totals of the sender's credits.
     *
     * @param totals one entry for each endpoint whose totals changed; from time to time one for each endpoint with
     *     credits
     * @param satisfied the kinds of work for which the sender needs no more credits
     */
    record CreditReturn(List<CreditTotals> totals, List<WorkId> satisfied) implements PlacementMessage {

        /** Copies the lists. */
        public CreditReturn {
            totals = List.copyOf(totals);
            satisfied = List.copyOf(satisfied);
        }
    }

    /**
     * Reports to a borrower that other VMs wait for the sender's endpoints, so that the borrower returns idle
     * credits sooner.
     *
     * @param work the kind of work that waits at other VMs
     * @param credits the number of credits to return as tasks end, even if tasks of the receiver wait
     */
    record CreditRecall(WorkId work, int credits) implements PlacementMessage {}
}
