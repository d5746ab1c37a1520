package org.gooseberrypier.internal.placement;

import org.gooseberrypier.internal.board.Blackboard;

/** Creates a placement policy by the name that the settings give. */
public final class PlacementPolicies {

    /** Selects a random endpoint on which the tasks of this VM use fewer slots than the endpoint has. */
    public static final String RANDOM = "random";

    /** Selects the endpoint on which the tasks of this VM use the smallest fraction of the slots. */
    public static final String LEAST_OUTSTANDING = "least-outstanding";

    /** Gives each VM a fixed share of the slots of each endpoint. */
    public static final String STATIC_SHARES = "static-shares";

    /** Lends slots between VMs on demand. */
    public static final String CREDITS = "credits";

    private PlacementPolicies() {}

    /** Creates the policy that the settings name. */
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
