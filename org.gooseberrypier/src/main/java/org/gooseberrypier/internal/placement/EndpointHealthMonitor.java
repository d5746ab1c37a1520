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

/** Takes work away from endpoints that fail, refuse or lose it, and gives it back step by step. */
final class EndpointHealthMonitor {

    private static final int SERVER_ERROR = 500;
    private static final int MAX_BAD_REPLIES = 3;
    private static final long FIRST_FAILURE_BACK_OFF_MS = 2_000;
    private static final long FIRST_REFUSAL_BACK_OFF_MS = 50;
    private static final long MAX_BACK_OFF_MS = 60_000;
    private static final long AUDITED_BACK_OFF_MS = 1_000;
    private static final long PROBE_TIMEOUT_MS = 1_000;
    private static final long IDLE_MS = 10_000;
    private static final int MAX_QUARANTINED_FRACTION = 3;

    private final Blackboard board;
    private final EndpointIndex index;
    private final Map<EndpointId, Timer> probes = new HashMap<>();

    EndpointHealthMonitor(Blackboard board, EndpointIndex index) {
        this.board = board;
        this.index = index;
    }

    static boolean isEndpointFault(TaskReply reply) {
        return reply instanceof TaskReply.Lost || reply instanceof TaskReply.Failed f && f.status() >= SERVER_ERROR;
    }

    /** Learns from the end of an attempt; the caller refreshes the index. */
    void handleReply(EndpointState endpoint, TaskReply reply, Context context) {
        boolean refused = reply instanceof TaskReply.NotStarted;
        if (!(reply instanceof TaskReply.Lost)) {
            endpoint.setLastReplyAtMs(context.nowMs());
        }
        if (!refused && !isEndpointFault(reply)) {
            trust(endpoint, context);
            return;
        }
        endpoint.setConsecutiveFailures(endpoint.consecutiveFailures() + 1);
        boolean atOnce = endpoint.health() == EndpointHealth.PROBATION;
        boolean tooMany = endpoint.consecutiveFailures() % MAX_BAD_REPLIES == 0 && !isCommon(endpoint, reply);
        if (endpoint.health() != EndpointHealth.QUARANTINED && (atOnce || tooMany)) {
            quarantine(endpoint, refused ? FIRST_REFUSAL_BACK_OFF_MS : FIRST_FAILURE_BACK_OFF_MS, "replies", context);
        } else if (reply instanceof TaskReply.Lost) {
            probe(endpoint, context);
        }
    }

    /** Probes an endpoint that has been idle for long before a task is risked on it; tells whether it did. */
    boolean probeIfIdle(EndpointState endpoint, Context context) {
        boolean idle = endpoint.outstanding() == 0 && context.nowMs() - endpoint.lastReplyAtMs() > IDLE_MS;
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
            tryAgain(endpoint);
        } else {
            quarantine(endpoint, FIRST_REFUSAL_BACK_OFF_MS, "no answer to a probe", context);
        }
        index.refresh(endpoint, context);
    }

    private void cancelTimeout(EndpointId id) {
        Timer timer = probes.remove(id);
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
        probes.put(id, context.schedule(context.nowMs() + PROBE_TIMEOUT_MS, c -> expireProbe(endpoint, c)));
    }

    /** Goes on with one task at a time where a probe has no result. */
    private void expireProbe(EndpointState endpoint, Context context) {
        probes.remove(endpoint.spec().id());
        endpoint.setProbing(false);
        endpoint.setHealth(EndpointHealth.PROBATION);
        index.refresh(endpoint, context);
    }

    private void trust(EndpointState endpoint, Context context) {
        boolean restored = endpoint.health() == EndpointHealth.PROBATION;
        if (restored && endpoint.backoffMs() >= AUDITED_BACK_OFF_MS) {
            audit(endpoint, AuditEntry.Kind.ENDPOINT_RESTORED, "a task succeeded", context);
        }
        if (endpoint.health() != EndpointHealth.QUARANTINED) {
            endpoint.setHealth(EndpointHealth.HEALTHY);
            endpoint.setConsecutiveFailures(0);
            endpoint.setBackoffMs(0);
        }
    }

    private void quarantine(EndpointState endpoint, long firstMs, String why, Context context) {
        long backOffMs = Math.min(MAX_BACK_OFF_MS, Math.max(firstMs, 2 * endpoint.backoffMs()));
        endpoint.setBackoffMs(backOffMs);
        endpoint.setHealth(EndpointHealth.QUARANTINED);
        if (backOffMs >= AUDITED_BACK_OFF_MS) {
            audit(endpoint, AuditEntry.Kind.ENDPOINT_QUARANTINED, why + ", for " + backOffMs + " ms", context);
        }
        long jitteredMs = (long) (backOffMs * (1 + context.random().nextDouble()) / 2);
        context.schedule(context.nowMs() + Math.max(1, jitteredMs), c -> release(endpoint, c));
    }

    private void release(EndpointState endpoint, Context context) {
        if (endpoint.health() != EndpointHealth.QUARANTINED || !endpoint.isServing()) {
            endpoint.setHealth(EndpointHealth.HEALTHY);
            return;
        }
        probe(endpoint, context);
    }

    private static void tryAgain(EndpointState endpoint) {
        if (endpoint.health() == EndpointHealth.QUARANTINED) {
            endpoint.setHealth(EndpointHealth.PROBATION);
        }
    }

    /** Tells whether so many endpoints are in quarantine that the tasks may be at fault. */
    private boolean isCommon(EndpointState endpoint, TaskReply reply) {
        if (!(reply instanceof TaskReply.Failed)) {
            return false;
        }
        for (EndpointWork w : endpoint.works()) {
            if (quarantined(w.work()) * MAX_QUARANTINED_FRACTION
                    >= index.pool(w.work()).state().endpoints()) {
                return true;
            }
        }
        return false;
    }

    private long quarantined(WorkId work) {
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
