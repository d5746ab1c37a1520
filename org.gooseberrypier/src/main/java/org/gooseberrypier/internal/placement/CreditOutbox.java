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

/** Collects changed credit accounts and, after a short delay, sends each VM all of its accounts in one message. */
final class CreditOutbox {

    private final Blackboard board;
    private final BiFunction<EndpointState, VmId, CreditTotals> accountReader;
    private final BiFunction<VmId, List<CreditTotals>, PlacementMessage> messageFactory;
    private final Map<VmId, Set<EndpointState>> changed = new LinkedHashMap<>();
    private boolean flushScheduled;

    /**
     * Creates an outbox.
     *
     * @param board the shared state of the engine, which counts the messages
     * @param accountReader reads an account when its message is sent; returns null if the account no longer exists
     * @param messageFactory creates the message for a VM
     */
    CreditOutbox(
            Blackboard board,
            BiFunction<EndpointState, VmId, CreditTotals> accountReader,
            BiFunction<VmId, List<CreditTotals>, PlacementMessage> messageFactory) {
        this.board = board;
        this.accountReader = accountReader;
        this.messageFactory = messageFactory;
    }

    void add(VmId to, EndpointState endpoint) {
        changed.computeIfAbsent(to, v -> new LinkedHashSet<>()).add(endpoint);
    }

    /** Adds a VM that gets a message even if none of its accounts changed. */
    void addRecipient(VmId to) {
        changed.computeIfAbsent(to, v -> new LinkedHashSet<>());
    }

    /** Schedules the messages to be sent after a delay, unless they are scheduled already. */
    void scheduleFlush(long delayMs, Context context) {
        if (!flushScheduled && !changed.isEmpty()) {
            flushScheduled = true;
            context.schedule(context.nowMs() + delayMs, this::flush);
        }
    }

    void flush(Context context) {
        flushScheduled = false;
        changed.forEach((to, endpoints) -> send(to, endpoints, context));
        changed.clear();
    }

    private void send(VmId to, Set<EndpointState> endpoints, Context context) {
        List<CreditTotals> list = new ArrayList<>(endpoints.size());
        for (EndpointState e : endpoints) {
            CreditTotals t = accountReader.apply(e, to);
            if (t != null) {
                list.add(t);
            }
        }
        if (!list.isEmpty() || endpoints.isEmpty()) {
            board.counters().increment(Counter.PLACEMENT_MESSAGES);
            context.emit(new Effect.SendPeer(to, messageFactory.apply(to, list)));
        }
    }
}
