package org.gooseberrypier.internal.lifecycle;

import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.event.LifecycleEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Controller;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.VmSpec;

/** Stops this VM gracefully: work in flight ends, key shards go to their next holders, then the process may exit. */
public final class LifecycleController implements Controller {

    private static final long CHECK_MS = 50;

    private final Blackboard board;
    private long exitByMs;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     */
    public LifecycleController(Blackboard board) {
        this.board = board;
    }

    @Override
    public void handle(Event event, Context context) {
        if (event instanceof LifecycleEvent.StopRequested) {
            stop("asked to stop", context);
        } else if (event instanceof InternalEvent.ConfigurationChanged c && isRetired(c)) {
            stop("retired by ticket " + c.after().number(), context);
        }
    }

    private boolean isRetired(InternalEvent.ConfigurationChanged changed) {
        VmSpec after = spec(changed.after());
        return after == null ? spec(changed.before()) != null : after.leaving();
    }

    private VmSpec spec(Configuration configuration) {
        return configuration.vms().get(board.settings().self().vm());
    }

    private void stop(String why, Context context) {
        if (board.lifecycle().isStopping()) {
            return;
        }
        board.lifecycle().setStopping();
        exitByMs = context.nowMs() + board.settings().stopTimeoutMs();
        audit("begins: " + why, context);
        context.raise(new InternalEvent.Stopping());
        context.schedule(context.nowMs() + CHECK_MS, this::check);
    }

    private void check(Context context) {
        boolean late = context.nowMs() >= exitByMs;
        if (!late && !isDrained()) {
            context.schedule(context.nowMs() + CHECK_MS, this::check);
            return;
        }
        if (late) {
            context.raise(new InternalEvent.StopTimedOut());
        }
        audit(late ? "ends with work left" : "ends", context);
        context.schedule(context.nowMs() + CHECK_MS, c -> c.emit(new Effect.Exit()));
    }

    private boolean isDrained() {
        var submissions = board.submissions();
        return submissions.jobs().isEmpty()
                && submissions.openRequests() == 0
                && submissions.openHandovers() == 0
                && (!hasShards() || !hasSuccessor());
    }

    /** Tells whether this VM still holds a shard that no newer holder has taken over. */
    private boolean hasShards() {
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            if (board.shards().get(s).completeView() > 0) {
                return true;
            }
        }
        return board.views().current().members().contains(board.settings().self());
    }

    /** Tells whether the zone has another VM that could take over; the last one of a zone need not wait. */
    private boolean hasSuccessor() {
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            VmId self = board.settings().self().vm();
            boolean other =
                    !v.id().equals(self) && v.zone().equals(board.settings().zone());
            if (other && !v.leaving()) {
                return true;
            }
        }
        return false;
    }

    private void audit(String detail, Context context) {
        context.emit(new Effect.Audit(new AuditEntry(
                context.nowMs(),
                AuditEntry.Kind.STOPPING,
                board.settings().self().toString(),
                board.tickets().inForce().number(),
                detail)));
    }
}
