package org.gooseberrypier.internal.placement;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.EndpointHealth;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Timer;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.WorkId;

/**
 * Monitors the health of endpoints: quarantines those that fail, refuse or lose tasks, and restores them after a probe
 * and a probation with one task at a time.
 */
final class EndpointHealthMonitor {

    private static final int SERVER_ERROR = 500;
    private static final int FAILURE_THRESHOLD = 3;
    private static final long INITIAL_FAILURE_BACKOFF_MS = 2_000;
    private static final long INITIAL_REFUSAL_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 60_000;
    private static final long MIN_AUDITED_BACKOFF_MS = 1_000;
    private static final long PROBE_TIMEOUT_MS = 1_000;
    private static final long IDLE_THRESHOLD_MS = 10_000;
    private static final int UNHEALTHY_FRACTION_DIVISOR = 3;

    private final Blackboard board;
    private final EndpointIndex index;
    private final Map<EndpointId, Timer> probeTimeouts = new HashMap<>();

    EndpointHealthMonitor(Blackboard board, EndpointIndex index) {
        this.board = board;
        this.index = index;
    }

    static boolean isEndpointFault(TaskReply reply) {
        return reply instanceof TaskReply.Lost || reply instanceof TaskReply.Failed f && f.status() >= SERVER_ERROR;
    }

    /** Updates the health of an endpoint after the end of an attempt; the caller refreshes the index. */
    void handleReply(EndpointState endpoint, TaskReply reply, Context context) {
        boolean refused = reply instanceof TaskReply.NotStarted;
        if (!(reply instanceof TaskReply.Lost)) {
            endpoint.setLastReplyAtMs(context.nowMs());
        }
        if (!refused && !isEndpointFault(reply)) {
            resetFailures(endpoint, context);
            return;
        }
        endpoint.setConsecutiveFailures(endpoint.consecutiveFailures() + 1);
        boolean onProbation = endpoint.health() == EndpointHealth.PROBATION;
        boolean thresholdReached =
                endpoint.consecutiveFailures() % FAILURE_THRESHOLD == 0 && !mayBeTaskFault(endpoint, reply);
        if (endpoint.health() != EndpointHealth.QUARANTINED && (onProbation || thresholdReached)) {
            quarantine(endpoint, refused ? INITIAL_REFUSAL_BACKOFF_MS : INITIAL_FAILURE_BACKOFF_MS, "replies", context);
        } else if (reply instanceof TaskReply.Lost) {
            probe(endpoint, context);
        }
    }

    /** Probes an endpoint that was idle for long before it gets a task; tells whether a probe was sent. */
    boolean probeIfIdle(EndpointState endpoint, Context context) {
        boolean idle = endpoint.outstanding() == 0 && context.nowMs() - endpoint.lastReplyAtMs() > IDLE_THRESHOLD_MS;
        if (!idle || endpoint.isProbing()) {
            return false;
        }
        probe(endpoint, context);
        index.refresh(endpoint, context);
        return true;
    }

    void handleProbeResult(EndpointId id, boolean alive, Context context) {
        EndpointState endpoint = board.endpoints().states().get(id);
        if (endpoint == null || !endpoint.isProbing()) {
            return;
        }
        endpoint.setProbing(false);
        cancelTimeout(id);
        if (alive) {
            endpoint.setLastReplyAtMs(context.nowMs());
            startProbation(endpoint);
        } else {
            quarantine(endpoint, INITIAL_REFUSAL_BACKOFF_MS, "no answer to a probe", context);
        }
        index.refresh(endpoint, context);
    }

    private void cancelTimeout(EndpointId id) {
        Timer timer = probeTimeouts.remove(id);
        if (timer != null) {
            timer.cancel();
        }
    }

    private void probe(EndpointState endpoint, Context context) {
        if (endpoint.isProbing() || !endpoint.isServing()) {
            return;
        }
        endpoint.setProbing(true);
        EndpointId id = endpoint.spec().id();
        cancelTimeout(id);
        context.emit(new Effect.ProbeEndpoint(id, endpoint.spec().address()));
        probeTimeouts.put(id, context.schedule(context.nowMs() + PROBE_TIMEOUT_MS, c -> expireProbe(endpoint, c)));
    }

    /** Puts an endpoint on probation, where it gets one task at a time, if its probe had no result in time. */
    private void expireProbe(EndpointState endpoint, Context context) {
        probeTimeouts.remove(endpoint.spec().id());
        endpoint.setProbing(false);
        endpoint.setHealth(EndpointHealth.PROBATION);
        index.refresh(endpoint, context);
    }

    private void resetFailures(EndpointState endpoint, Context context) {
        boolean restored = endpoint.health() == EndpointHealth.PROBATION;
        if (restored && endpoint.backoffMs() >= MIN_AUDITED_BACKOFF_MS) {
            audit(endpoint, AuditEntry.Kind.ENDPOINT_RESTORED, "a task succeeded", context);
        }
        if (endpoint.health() != EndpointHealth.QUARANTINED) {
            endpoint.setHealth(EndpointHealth.HEALTHY);
            endpoint.setConsecutiveFailures(0);
            endpoint.setBackoffMs(0);
        }
    }

    private void quarantine(EndpointState endpoint, long initialBackoffMs, String cause, Context context) {
        long backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(initialBackoffMs, 2 * endpoint.backoffMs()));
        endpoint.setBackoffMs(backoffMs);
        endpoint.setHealth(EndpointHealth.QUARANTINED);
        if (backoffMs >= MIN_AUDITED_BACKOFF_MS) {
            audit(endpoint, AuditEntry.Kind.ENDPOINT_QUARANTINED, cause + ", for " + backoffMs + " ms", context);
        }
        long jitteredMs = (long) (backoffMs * (1 + context.random().nextDouble()) / 2);
        context.schedule(context.nowMs() + Math.max(1, jitteredMs), c -> endQuarantine(endpoint, c));
    }

    private void endQuarantine(EndpointState endpoint, Context context) {
        if (endpoint.health() != EndpointHealth.QUARANTINED || !endpoint.isServing()) {
            endpoint.setHealth(EndpointHealth.HEALTHY);
            return;
        }
        probe(endpoint, context);
    }

    private static void startProbation(EndpointState endpoint) {
        if (endpoint.health() == EndpointHealth.QUARANTINED) {
            endpoint.setHealth(EndpointHealth.PROBATION);
        }
    }

    /**
     * Tells whether a failure may be a fault of the tasks, because at least one in {@link #UNHEALTHY_FRACTION_DIVISOR}
     * endpoints of a work is quarantined or on probation.
     */
    private boolean mayBeTaskFault(EndpointState endpoint, TaskReply reply) {
        if (!(reply instanceof TaskReply.Failed)) {
            return false;
        }
        for (EndpointWork w : endpoint.works()) {
            if (countUnhealthy(w.work()) * UNHEALTHY_FRACTION_DIVISOR
                    >= index.pool(w.work()).state().endpoints()) {
                return true;
            }
        }
        return false;
    }

    private long countUnhealthy(WorkId work) {
        return board.endpoints().states().values().stream()
                .filter(e -> e.isServing() && e.health() != EndpointHealth.HEALTHY)
                .filter(e -> e.spec().works().contains(work))
                .count();
    }

    private void audit(EndpointState endpoint, AuditEntry.Kind kind, String detail, Context context) {
        context.emit(new Effect.Audit(new AuditEntry(
                context.nowMs(),
                kind,
                endpoint.spec().id().name(),
                board.tickets().inForce().number(),
                detail)));
    }
}
