package org.gooseberrypier.internal.board;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberrypier.lib.TeamId;

/** The teams that have tasks on this VM, and the teams of the ticket in force. */
public final class QuotaSection {

    private final Map<TeamId, TeamState> teams = new LinkedHashMap<>();

    /**
     * Returns the teams by name.
     *
     * @return the teams; only the controller that owns the section may change the map
     */
    public Map<TeamId, TeamState> teams() {
        return teams;
    }
}
