package org.gooseberrypier.internal.ticket;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.peer.TicketMessage;
import org.gooseberrypier.ticket.Checkpoint;
import org.gooseberrypier.ticket.CheckpointCodec;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.VmSpec;

/**
 * Passes accepted tickets on to other VMs and asks them for what is missing here.
 *
 * <p>A small record goes at once to a few VMs of the own zone and one of another; whoever still lacks it finds out by
 * the ticket number in a heartbeat and asks. A large configuration goes in parts, on request only.
 */
final class TicketDisseminator {

    /** How many parts a checkpoint has at most. */
    static final int MAX_PARTS = 256;

    private static final int PART_BYTES = CheckpointCodec.MAX_BYTES / MAX_PARTS;
    private static final int MAX_PUSHED_BYTES = 16 << 10;
    private static final int MAX_SPREAD_BYTES = 256 << 10;
    private static final int MAX_RECENT_RECORDS = 64;
    private static final int MAX_RECENT_BYTES = 1 << 20;
    private static final int MAX_PEERS = 4_096;
    private static final int PUSHES_WITHIN_ZONE = 2;
    private static final int PUSHES_TO_OTHER_ZONES = 1;
    private static final long ASK_INTERVAL_MS = 500;
    private static final long WHOLE_ANSWER_INTERVAL_MS = 500;

    private final Blackboard board;
    private final Map<VmId, Long> heardNumbers = bounded();
    private final Map<VmId, Long> answeredAtMs = bounded();
    private final ArrayDeque<Recent> recent = new ArrayDeque<>();
    private long recentBytes;
    private long nextAskAtMs;
    private Configuration formatted = Configuration.NONE;
    private Payload formattedBytes = Payload.EMPTY;

    TicketDisseminator(Blackboard board) {
        this.board = board;
    }

    /** Passes on a record that was accepted here. */
    void push(String afterUniqueId, long number, LogRecord record, Context context) {
        remember(afterUniqueId, number, record);
        if (record.data().size() > MAX_PUSHED_BYTES) {
            return;
        }
        ZoneId zone = board.settings().zone();
        List<VmId> near = new ArrayList<>();
        List<VmId> far = new ArrayList<>();
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            boolean knows = heardNumbers.getOrDefault(v.id(), 0L) >= number;
            if (!knows && !v.id().equals(board.settings().self().vm())) {
                (v.zone().equals(zone) ? near : far).add(v.id());
            }
        }
        TicketMessage message = new TicketMessage.Spread(afterUniqueId, List.of(record));
        pushToSome(near, PUSHES_WITHIN_ZONE, message, context);
        pushToSome(far, PUSHES_TO_OTHER_ZONES, message, context);
    }

    /** Takes the number that a peer has in force and asks for what is missing here. */
    void onHeartbeat(VmId peer, long number, Context context) {
        heardNumbers.put(peer, number);
        if (number > board.tickets().inForce().number()) {
            ask(peer, context);
        }
    }

    /** Asks any peer for its whole configuration. */
    void askAnyPeer(Context context) {
        List<VmId> peers = new ArrayList<>(heardNumbers.keySet());
        for (VmId v : board.tickets().inForce().vms().keySet()) {
            if (!v.equals(board.settings().self().vm()) && !heardNumbers.containsKey(v)) {
                peers.add(v);
            }
        }
        if (!peers.isEmpty()) {
            ask(peers.get(context.random().nextInt(peers.size())), context);
        }
    }

    /** Answers a peer that lacks something. */
    void answer(VmId peer, TicketMessage.Ask ask, Checkpoint known, Context context) {
        Configuration inForce = known.configuration();
        heardNumbers.put(peer, ask.afterNumber());
        if (!ask.whole() && ask.afterNumber() < inForce.number()) {
            Optional<TicketMessage.Spread> records = recentAfter(ask.afterNumber());
            if (records.isPresent()) {
                context.emit(new Effect.SendPeer(peer, records.get()));
                return;
            }
        }
        boolean useful = inForce.number() > ask.afterNumber()
                || ask.whole() && inForce.isPresent() && known.throughOffset() >= 0;
        if (useful && context.nowMs() >= answeredAtMs.getOrDefault(peer, 0L) + WHOLE_ANSWER_INTERVAL_MS) {
            answeredAtMs.put(peer, context.nowMs());
            sendWhole(peer, known, context);
        }
    }

    private void ask(VmId peer, Context context) {
        if (context.nowMs() < nextAskAtMs) {
            return;
        }
        nextAskAtMs = context.nowMs() + ASK_INTERVAL_MS;
        long number = board.tickets().inForce().number();
        boolean whole = number == 0 || !board.tickets().isSynchronised();
        context.emit(new Effect.SendPeer(peer, new TicketMessage.Ask(number, whole)));
    }

    private void sendWhole(VmId peer, Checkpoint known, Context context) {
        Configuration inForce = known.configuration();
        if (!formatted.equals(inForce)) {
            formatted = inForce;
            formattedBytes = CheckpointCodec.format(new Checkpoint(inForce.offset(), inForce));
        }
        byte[] bytes = formattedBytes.bytes();
        int count = (bytes.length + PART_BYTES - 1) / PART_BYTES;
        for (int i = 0; i < count; i++) {
            int end = Math.min(bytes.length, (i + 1) * PART_BYTES);
            Payload data = Payload.wrap(java.util.Arrays.copyOfRange(bytes, i * PART_BYTES, end));
            TicketMessage part = new TicketMessage.Part(
                    inForce.number(), known.throughOffset(), known.throughDigest(), i, count, data);
            context.emit(new Effect.SendPeer(peer, part));
        }
    }

    private void pushToSome(List<VmId> peers, int count, TicketMessage message, Context context) {
        for (int i = 0; i < count && !peers.isEmpty(); i++) {
            VmId peer = peers.remove(context.random().nextInt(peers.size()));
            context.emit(new Effect.SendPeer(peer, message));
        }
    }

    private void remember(String afterUniqueId, long number, LogRecord record) {
        Recent last = recent.peekLast();
        if (last != null && last.number() + 1 != number) {
            recent.clear();
            recentBytes = 0;
        }
        recent.add(new Recent(afterUniqueId, number, record));
        recentBytes += record.data().size();
        while (recent.size() > MAX_RECENT_RECORDS || recentBytes > MAX_RECENT_BYTES) {
            recentBytes -= recent.poll().record().data().size();
        }
    }

    private Optional<TicketMessage.Spread> recentAfter(long number) {
        Recent first = recent.peek();
        Recent last = recent.peekLast();
        if (first == null
                || first.number() > number + 1
                || last.number() != board.tickets().inForce().number()) {
            return Optional.empty();
        }
        List<Recent> missing = recent.stream().filter(r -> r.number() > number).toList();
        long bytes = missing.stream().mapToLong(r -> r.record().data().size()).sum();
        if (missing.isEmpty() || bytes > MAX_SPREAD_BYTES) {
            return Optional.empty();
        }
        List<LogRecord> records = missing.stream().map(Recent::record).toList();
        return Optional.of(new TicketMessage.Spread(missing.get(0).afterUniqueId(), records));
    }

    private static Map<VmId, Long> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<VmId, Long> eldest) {
                return size() > MAX_PEERS;
            }
        };
    }

    private record Recent(String afterUniqueId, long number, LogRecord record) {}
}
