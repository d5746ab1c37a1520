package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.peer.PlacementMessage;
import org.gooseberrypier.peer.PlacementMessage.CreditTotals;

/** Collects the accounts that changed and tells each VM of all of its own in one message after a short delay. */
final class CreditOutbox {

    private final Blackboard board;
    private final BiFunction<EndpointState, VmId, CreditTotals> totals;
    private final BiFunction<VmId, List<CreditTotals>, PlacementMessage> wrap;
    private final Map<VmId, Set<EndpointState>> changed = new LinkedHashMap<>();
    private boolean scheduled;

    /**
     * Creates an outbox.
     *
     * @param board where messages are counted
     * @param totals reads an account when its message is sent, null if it is gone by then
     * @param wrap makes the message
     */
    CreditOutbox(
            Blackboard board,
            BiFunction<EndpointState, VmId, CreditTotals> totals,
            BiFunction<VmId, List<CreditTotals>, PlacementMessage> wrap) {
        this.board = board;
        this.totals = totals;
        this.wrap = wrap;
    }

    void add(VmId to, EndpointState endpoint) {
        changed.computeIfAbsent(to, v -> new LinkedHashSet<>()).add(endpoint);
    }

    /** Sends a message to a VM even if no account changed. */
    void addRecipient(VmId to) {
        changed.computeIfAbsent(to, v -> new LinkedHashSet<>());
    }

    /** Sends everything within a delay. */
    void scheduleFlush(long delayMs, Context context) {
        if (!scheduled && !changed.isEmpty()) {
            scheduled = true;
            context.schedule(context.nowMs() + delayMs, this::flush);
        }
    }

    void flush(Context context) {
        scheduled = false;
        changed.forEach((to, endpoints) -> send(to, endpoints, context));
        changed.clear();
    }

    private void send(VmId to, Set<EndpointState> endpoints, Context context) {
        List<CreditTotals> list = new ArrayList<>(endpoints.size());
        for (EndpointState e : endpoints) {
            CreditTotals t = totals.apply(e, to);
            if (t != null) {
                list.add(t);
            }
        }
        if (!list.isEmpty() || endpoints.isEmpty()) {
            board.counters().increment(Counter.PLACEMENT_MESSAGES);
            context.emit(new Effect.SendPeer(to, wrap.apply(to, list)));
        }
    }
}
