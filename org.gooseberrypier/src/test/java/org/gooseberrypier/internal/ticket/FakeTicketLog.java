package org.gooseberrypier.internal.ticket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;

/** A ticket stream that never forgets what was accepted, though it expires records. */
final class FakeTicketLog {

    private final List<LogRecord> records = new ArrayList<>();
    private final List<Boolean> verdicts = new ArrayList<>();
    private final List<String> accepted = new ArrayList<>();
    private final Map<Long, Set<String>> everAccepted = new HashMap<>();
    private final Map<String, Configuration> contents = new HashMap<>();
    private long firstOffset;
    private boolean rewound;

    FakeTicketLog() {
        accepted.add("");
        everAccepted.put(0L, Set.of(""));
    }

    /** Appends a ticket that is valid or not by itself. */
    void append(Ticket ticket, boolean valid, long nowMs) {
        boolean wins = valid && ticket.number() == accepted.size();
        append(TicketCodec.format(ticket), nowMs);
        verdicts.set(verdicts.size() - 1, wins);
        if (wins) {
            accepted.add(ticket.uniqueId());
            everAccepted.computeIfAbsent(ticket.number(), n -> new HashSet<>()).add(ticket.uniqueId());
        }
    }

    /** Appends a record that is no ticket. */
    void append(Payload data, long nowMs) {
        records.add(new LogRecord(records.size(), nowMs, data));
        verdicts.add(false);
    }

    void expire(long count) {
        firstOffset = Math.min(records.size(), firstOffset + count);
    }

    /** Forgets the newest records, as a store that was restored from an old copy does. */
    void rewind(int count) {
        for (int i = 0; i < count && records.size() > firstOffset; i++) {
            int last = records.size() - 1;
            records.remove(last);
            if (verdicts.remove(last)) {
                accepted.remove(accepted.size() - 1);
            }
        }
        rewound = true;
    }

    LogEvent.Read read(long from, int max) {
        return read(from, max, records.size());
    }

    /** Reads as if the last records were not there. */
    LogEvent.Read read(long from, int max, long nextOffset) {
        long begin = Math.max(from, firstOffset);
        List<LogRecord> page = new ArrayList<>();
        for (long o = begin; o < nextOffset && page.size() < max; o++) {
            page.add(records.get((int) o));
        }
        return new LogEvent.Read(StreamId.TICKETS, from, firstOffset, Math.max(firstOffset, nextOffset), page);
    }

    long nextOffset() {
        return records.size();
    }

    long firstOffset() {
        return firstOffset;
    }

    int lastNumber() {
        return accepted.size() - 1;
    }

    /** Tells whether a ticket was accepted, before a rewind or after it. */
    boolean isAccepted(long number, String uniqueId) {
        return everAccepted.getOrDefault(number, Set.of()).contains(uniqueId);
    }

    /** Returns the configuration that another VM had under the same ticket, or this one if it is the first. */
    Configuration firstRecordedConfiguration(Configuration configuration) {
        contents.putIfAbsent(configuration.uniqueId(), configuration);
        return contents.get(configuration.uniqueId());
    }

    boolean isRewound() {
        return rewound;
    }

    boolean verdict(long offset) {
        return verdicts.get((int) offset);
    }
}
