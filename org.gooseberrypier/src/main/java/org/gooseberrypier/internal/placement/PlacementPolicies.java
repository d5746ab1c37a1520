package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.Blackboard;

/** The placement policies by the names that the settings use. */
public final class PlacementPolicies {

    /** Takes any endpoint on which this VM has fewer tasks than there are slots. */
    public static final String RANDOM = "random";

    /** Takes the endpoint with the fewest of this VM's own tasks relative to its slots. */
    public static final String LEAST_OUTSTANDING = "least-outstanding";

    /** Gives each VM a fixed part of the slots. */
    public static final String STATIC_SHARES = "static-shares";

    /** Lends slots between the VMs on demand. */
    public static final String CREDITS = "credits";

    private PlacementPolicies() {}

    /** Creates a policy by its name. */
    static PlacementPolicy create(Blackboard board, VmShares shares) {
        String name = board.settings().placement();
        return switch (name) {
            case RANDOM -> new RandomPolicy();
            case LEAST_OUTSTANDING -> new LeastOutstandingPolicy();
            case STATIC_SHARES -> new StaticSharesPolicy(shares);
            case CREDITS -> new CreditsPolicy(board, shares);
            default ->
                throw new IllegalArgumentException("placement: " + name + "; allowed are " + RANDOM + ", "
                        + LEAST_OUTSTANDING + ", " + STATIC_SHARES + ", " + CREDITS);
        };
    }
}
