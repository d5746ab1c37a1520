package org.gooseberrypier.internal.pool;

import org.gooseberrypier.pool.StartResult;

/**
 * Excludes endpoints from placement for a time that depends on the outcomes of their recent runs.
 *
 * <p>Load pattern: endpoints that fail, refuse or stall tasks while they report themselves as healthy. Each consecutive
 * failure lengthens the exclusion; one completed run resets it.
 */
final class EndpointHealth {

    /** Exclusion after an endpoint had no room, in milliseconds; a run may have ended by then. */
    private static final long NO_ROOM_EXCLUSION_MS = 60;

    /** Exclusion after an endpoint could not be reached or reported itself as unhealthy, in milliseconds. */
    private static final long UNHEALTHY_EXCLUSION_MS = 400;

    /** Exclusion for each consecutive failed or stalled task, in milliseconds. */
    private static final long SUSPICION_EXCLUSION_MS = 500;

    /** Limits the exclusion to two seconds, since faults of endpoints last seconds. */
    private static final int MAX_SUSPICION = 4;

    private EndpointHealth() {}

    static void onDone(LeasedEndpoint e) {
        e.suspicion = 0;
    }

    /** Records a failed run. The first failure does not exclude the endpoint, since the task itself may be the cause. */
    static void onFailed(LeasedEndpoint e, long now) {
        raiseSuspicion(e);
        exclude(e, now + SUSPICION_EXCLUSION_MS * (e.suspicion - 1));
    }

    static void onSlow(LeasedEndpoint e, long now) {
        raiseSuspicion(e);
        exclude(e, now + SUSPICION_EXCLUSION_MS * e.suspicion);
    }

    static void onNotStarted(LeasedEndpoint e, StartResult result, long now) {
        switch (result) {
            case NO_ROOM -> exclude(e, now + NO_ROOM_EXCLUSION_MS);
            case UNHEALTHY, NOT_SENT, OTHER_INCARNATION, UNANSWERED -> exclude(e, now + UNHEALTHY_EXCLUSION_MS);
            default -> exclude(e, now);
        }
    }

    private static void raiseSuspicion(LeasedEndpoint e) {
        e.suspicion = Math.min(MAX_SUSPICION, e.suspicion + 1);
    }

    private static void exclude(LeasedEndpoint e, long untilMs) {
        e.excludedUntilMs = Math.max(e.excludedUntilMs, untilMs);
    }
}
