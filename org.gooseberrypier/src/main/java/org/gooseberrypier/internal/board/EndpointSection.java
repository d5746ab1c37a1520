package org.gooseberrypier.internal.board;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberrypier.lib.EndpointId;

/** The endpoints of the ticket in force, and removed endpoints that still run tasks. */
public final class EndpointSection {

    private final Map<EndpointId, EndpointState> states = new LinkedHashMap<>();

    /**
     * Returns the endpoints by name.
     *
     * @return the endpoints; only the controller that owns the section may change the map
     */
    public Map<EndpointId, EndpointState> states() {
        return states;
    }
}
