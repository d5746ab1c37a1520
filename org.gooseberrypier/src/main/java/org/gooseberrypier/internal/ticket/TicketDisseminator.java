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
 * Distributes accepted tickets to other VMs and requests missing ones from them.
 *
 * <p>A small record is pushed on acceptance to a few VMs of the same zone and to one VM of another zone. A VM that did
 * not get it learns of it from the ticket number in a heartbeat and requests it. A complete configuration is sent only
 * on request, split into parts.
 */
final class TicketDisseminator {

    /** The maximum number of parts of a checkpoint. */
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
    private static final long CONFIGURATION_ANSWER_INTERVAL_MS = 500;

    private final Blackboard board;
    private final Map<VmId, Long> peerNumbers = newBoundedMap();
    private final Map<VmId, Long> configurationSentAtMs = newBoundedMap();
    private final ArrayDeque<RecentRecord> recentRecords = new ArrayDeque<>();
    private long recentRecordBytes;
    private long nextAskAtMs;
    private Configuration encodedConfiguration = Configuration.NONE;
    private Payload encodedBytes = Payload.EMPTY;

    TicketDisseminator(Blackboard board) {
        this.board = board;
    }

    /** Stores a record that this VM accepted for requests of peers, and pushes it to some of them if it is small. */
    void push(String afterUniqueId, long number, LogRecord record, Context context) {
        addRecent(afterUniqueId, number, record);
        if (record.data().size() > MAX_PUSHED_BYTES) {
            return;
        }
        ZoneId zone = board.settings().zone();
        List<VmId> sameZone = new ArrayList<>();
        List<VmId> otherZones = new ArrayList<>();
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            boolean upToDate = peerNumbers.getOrDefault(v.id(), 0L) >= number;
            if (!upToDate && !v.id().equals(board.settings().self().vm())) {
                (v.zone().equals(zone) ? sameZone : otherZones).add(v.id());
            }
        }
        TicketMessage message = new TicketMessage.Spread(afterUniqueId, List.of(record));
        pushToRandom(sameZone, PUSHES_WITHIN_ZONE, message, context);
        pushToRandom(otherZones, PUSHES_TO_OTHER_ZONES, message, context);
    }

    /** Records the number of the ticket in force at a peer and requests the tickets that this VM lacks. */
    void onHeartbeat(VmId peer, long number, Context context) {
        peerNumbers.put(peer, number);
        if (number > board.tickets().inForce().number()) {
            ask(peer, context);
        }
    }

    /** Asks a random peer for the tickets or the complete configuration that this VM lacks. */
    void askAnyPeer(Context context) {
        List<VmId> peers = new ArrayList<>(peerNumbers.keySet());
        for (VmId v : board.tickets().inForce().vms().keySet()) {
            if (!v.equals(board.settings().self().vm()) && !peerNumbers.containsKey(v)) {
                peers.add(v);
            }
        }
        if (!peers.isEmpty()) {
            ask(peers.get(context.random().nextInt(peers.size())), context);
        }
    }

    /** Answers a peer's request with the records that it lacks, or with the complete configuration in parts. */
    void answer(VmId peer, TicketMessage.Ask ask, Checkpoint checkpoint, Context context) {
        Configuration inForce = checkpoint.configuration();
        peerNumbers.put(peer, ask.afterNumber());
        if (!ask.whole() && ask.afterNumber() < inForce.number()) {
            Optional<TicketMessage.Spread> records = recentRecordsAfter(ask.afterNumber());
            if (records.isPresent()) {
                context.emit(new Effect.SendPeer(peer, records.get()));
                return;
            }
        }
        boolean hasAnswer = inForce.number() > ask.afterNumber()
                || ask.whole() && inForce.isPresent() && checkpoint.throughOffset() >= 0;
        if (hasAnswer
                && context.nowMs() >= configurationSentAtMs.getOrDefault(peer, 0L) + CONFIGURATION_ANSWER_INTERVAL_MS) {
            configurationSentAtMs.put(peer, context.nowMs());
            sendConfiguration(peer, checkpoint, context);
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

    private void sendConfiguration(VmId peer, Checkpoint checkpoint, Context context) {
        Configuration inForce = checkpoint.configuration();
        if (!encodedConfiguration.equals(inForce)) {
            encodedConfiguration = inForce;
            encodedBytes = CheckpointCodec.format(new Checkpoint(inForce.offset(), inForce));
        }
        byte[] bytes = encodedBytes.bytes();
        int count = (bytes.length + PART_BYTES - 1) / PART_BYTES;
        for (int i = 0; i < count; i++) {
            int end = Math.min(bytes.length, (i + 1) * PART_BYTES);
            Payload data = Payload.wrap(java.util.Arrays.copyOfRange(bytes, i * PART_BYTES, end));
            TicketMessage part = new TicketMessage.Part(
                    inForce.number(), checkpoint.throughOffset(), checkpoint.throughDigest(), i, count, data);
            context.emit(new Effect.SendPeer(peer, part));
        }
    }

    private void pushToRandom(List<VmId> peers, int count, TicketMessage message, Context context) {
        for (int i = 0; i < count && !peers.isEmpty(); i++) {
            VmId peer = peers.remove(context.random().nextInt(peers.size()));
            context.emit(new Effect.SendPeer(peer, message));
        }
    }

    private void addRecent(String afterUniqueId, long number, LogRecord record) {
        RecentRecord last = recentRecords.peekLast();
        if (last != null && last.number() + 1 != number) {
            recentRecords.clear();
            recentRecordBytes = 0;
        }
        recentRecords.add(new RecentRecord(afterUniqueId, number, record));
        recentRecordBytes += record.data().size();
        while (recentRecords.size() > MAX_RECENT_RECORDS || recentRecordBytes > MAX_RECENT_BYTES) {
            recentRecordBytes -= recentRecords.poll().record().data().size();
        }
    }

    private Optional<TicketMessage.Spread> recentRecordsAfter(long number) {
        RecentRecord first = recentRecords.peek();
        RecentRecord last = recentRecords.peekLast();
        if (first == null
                || first.number() > number + 1
                || last.number() != board.tickets().inForce().number()) {
            return Optional.empty();
        }
        List<RecentRecord> missing =
                recentRecords.stream().filter(r -> r.number() > number).toList();
        long bytes = missing.stream().mapToLong(r -> r.record().data().size()).sum();
        if (missing.isEmpty() || bytes > MAX_SPREAD_BYTES) {
            return Optional.empty();
        }
        List<LogRecord> records = missing.stream().map(RecentRecord::record).toList();
        return Optional.of(new TicketMessage.Spread(missing.get(0).afterUniqueId(), records));
    }

    private static Map<VmId, Long> newBoundedMap() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<VmId, Long> eldest) {
                return size() > MAX_PEERS;
            }
        };
    }

    private record RecentRecord(String afterUniqueId, long number, LogRecord record) {}
}
