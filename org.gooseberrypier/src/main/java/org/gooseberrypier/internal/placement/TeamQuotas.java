package org.gooseberrypier.internal.placement;

import java.util.HashMap;
import java.util.Map;

import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.TeamState;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.TeamSpec;

/** Sets this VM's share of the quota of each team, and audits quotas that are reached. */
final class TeamQuotas {

    private static final long AUDIT_INTERVAL_MS = 10_000;

    private final Blackboard board;
    private final VmShares shares;
    private final Map<TeamId, Long> auditedAtMs = new HashMap<>();

    TeamQuotas(Blackboard board, VmShares shares) {
        this.board = board;
        this.shares = shares;
    }

    void applyConfiguration(Configuration config) {
        var teams = board.quotas().teams();
        for (TeamSpec s : config.teams().values()) {
            int running = shares.shareOf(s.maxRunning(), s.id().hashCode());
            teams.computeIfAbsent(s.id(), TeamState::new)
                    .setLimits(s.weight(), atLeastOne(running, s.maxRunning()), s.maxQueued());
        }
        for (TeamState t : teams.values()) {
            if (!config.teams().containsKey(t.team())) {
                t.setLimits(1, Integer.MAX_VALUE, Integer.MAX_VALUE);
            }
        }
        teams.values().removeIf(t -> !config.teams().containsKey(t.team()) && t.waiting() == 0 && t.running() == 0);
        auditedAtMs.keySet().retainAll(config.teams().keySet());
    }

    /** Counts that tasks of a team wait only because its quota is reached, and audits it at intervals. */
    void quotaReached(TeamState team, Context context) {
        board.counters().increment(Counter.QUOTA_HITS);
        Long lastAuditAtMs = auditedAtMs.get(team.team());
        if (lastAuditAtMs != null && context.nowMs() - lastAuditAtMs < AUDIT_INTERVAL_MS) {
            return;
        }
        auditedAtMs.put(team.team(), context.nowMs());
        context.emit(new Effect.Audit(new AuditEntry(
                context.nowMs(),
                AuditEntry.Kind.QUOTA_HIT,
                team.team().name(),
                board.tickets().inForce().number(),
                "running here " + team.running() + ", waiting here " + team.waiting())));
    }

    /** Raises a share of 0 to 1, so that a team can run on every VM even if there are more VMs than its quota. */
    private static int atLeastOne(int part, int quota) {
        return quota > 0 ? Math.max(1, part) : 0;
    }
}
