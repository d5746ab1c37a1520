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

/** Stops this VM gracefully: lets work in flight end and key shards move to their next holders, then emits the exit. */
public final class LifecycleController implements Controller {

    private static final long CHECK_INTERVAL_MS = 50;

    private final Blackboard board;
    private long exitDeadlineMs;

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
        } else if (event instanceof InternalEvent.ConfigurationChanged c && isRemovedOrLeaving(c)) {
            stop("retired by ticket " + c.after().number(), context);
        }
    }

    private boolean isRemovedOrLeaving(InternalEvent.ConfigurationChanged changed) {
        VmSpec after = ownSpec(changed.after());
        return after == null ? ownSpec(changed.before()) != null : after.leaving();
    }

    private VmSpec ownSpec(Configuration configuration) {
        return configuration.vms().get(board.settings().self().vm());
    }

    private void stop(String reason, Context context) {
        if (board.lifecycle().isStopping()) {
            return;
        }
        board.lifecycle().setStopping();
        exitDeadlineMs = context.nowMs() + board.settings().stopTimeoutMs();
        audit("begins: " + reason, context);
        context.raise(new InternalEvent.Stopping());
        context.schedule(context.nowMs() + CHECK_INTERVAL_MS, this::check);
    }

    private void check(Context context) {
        boolean timedOut = context.nowMs() >= exitDeadlineMs;
        if (!timedOut && !isDrained()) {
            context.schedule(context.nowMs() + CHECK_INTERVAL_MS, this::check);
            return;
        }
        if (timedOut) {
            context.raise(new InternalEvent.StopTimedOut());
        }
        audit(timedOut ? "ends with work left" : "ends", context);
        context.schedule(context.nowMs() + CHECK_INTERVAL_MS, c -> c.emit(new Effect.Exit()));
    }

    private boolean isDrained() {
        var submissions = board.submissions();
        return submissions.jobs().isEmpty()
                && submissions.openRequests() == 0
                && submissions.openHandovers() == 0
                && (!holdsShards() || !hasSuccessor());
    }

    /** Returns whether this VM is in the zone's current view or holds a shard that no newer holder has taken over. */
    private boolean holdsShards() {
        for (int s = 0; s < ShardHolders.SHARDS; s++) {
            if (board.shards().get(s).completeView() > 0) {
                return true;
            }
        }
        return board.views().current().members().contains(board.settings().self());
    }

    /** Returns whether the zone has another VM that can take over; the last VM of a zone does not wait for one. */
    private boolean hasSuccessor() {
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            VmId self = board.settings().self().vm();
            boolean isOtherInZone =
                    !v.id().equals(self) && v.zone().equals(board.settings().zone());
            if (isOtherInZone && !v.leaving()) {
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
