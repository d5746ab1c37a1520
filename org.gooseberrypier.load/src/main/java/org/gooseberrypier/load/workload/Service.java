package org.gooseberrypier.load.workload;

import java.util.List;

/** The users' services that submit jobs. */
public enum Service {
    /** The case service for research impact case studies. */
    CASES("tartu", List.of("verify-citation", "assemble-bundle", "check-embargo")),
    /** The order service of member shops. */
    ORDERS("guild", List.of("confirm-cut", "check-stock", "reserve-slot"));

    private final String team;
    private final List<String> works;

    Service(String team, List<String> works) {
        this.team = team;
        this.works = works;
    }

    /**
     * Returns the team in whose name the service submits.
     *
     * @return the team
     */
    public String team() {
        return team;
    }

    /**
     * Returns the kinds of work that it submits.
     *
     * @return the kinds of work
     */
    public List<String> works() {
        return works;
    }
}
