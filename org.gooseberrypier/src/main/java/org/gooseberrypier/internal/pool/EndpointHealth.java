package org.gooseberrypier.internal.pool;

import org.gooseberrypier.pool.StartResult;

/**
 * Leaves out endpoints by what came of the work that they got.
 *
 * <p>Load pattern: endpoints that fail, refuse or stall what they start while they call themselves healthy. Each such
 * outcome in a row leaves an endpoint out for longer; one good end clears it.
 */
final class EndpointHealth {

    /** An endpoint that refused for want of room is left out until an end may have made some, in milliseconds. */
    private static final long NO_ROOM_MS = 60;

    /** An endpoint that could not be reached or calls itself unhealthy is left out for a while, in milliseconds. */
    private static final long UNHEALTHY_MS = 400;

    /** An endpoint that fails or stalls tasks is left out for this long for each of them, in milliseconds. */
    private static final long SUSPICIOUS_MS = 500;

    /** An endpoint is tried again after two seconds at the latest, as faults of endpoints last seconds. */
    private static final int MAX_SUSPICION = 4;

    private EndpointHealth() {}

    static void onDone(LeasedEndpoint e) {
        e.suspicion = 0;
    }

    /** A single failure may be the task's own fault, so it leaves the endpoint in. */
    static void onFailed(LeasedEndpoint e, long now) {
        suspect(e);
        leaveOut(e, now + SUSPICIOUS_MS * (e.suspicion - 1));
    }

    static void onSlow(LeasedEndpoint e, long now) {
        suspect(e);
        leaveOut(e, now + SUSPICIOUS_MS * e.suspicion);
    }

    static void onNotStarted(LeasedEndpoint e, StartResult result, long now) {
        switch (result) {
            case NO_ROOM -> leaveOut(e, now + NO_ROOM_MS);
            case UNHEALTHY, NOT_SENT, OTHER_INCARNATION, UNANSWERED -> leaveOut(e, now + UNHEALTHY_MS);
            default -> leaveOut(e, now);
        }
    }

    private static void suspect(LeasedEndpoint e) {
        e.suspicion = Math.min(MAX_SUSPICION, e.suspicion + 1);
    }

    private static void leaveOut(LeasedEndpoint e, long untilMs) {
        e.excludedUntilMs = Math.max(e.excludedUntilMs, untilMs);
    }
}
