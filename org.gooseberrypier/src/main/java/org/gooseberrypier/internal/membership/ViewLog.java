package org.gooseberrypier.internal.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.internal.board.ViewSection;
import org.gooseberrypier.internal.board.ZoneView;
import org.gooseberrypier.log.LogRecord;

/**
 * Replays a zone's stream of views; every reader finds the same winner for each number.
 *
 * <p>The first record for the next number wins. A reader that missed expired records goes on from what the writer of a
 * later record knew: that writer had seen no later view below the offset that the record names, so that the reader looks
 * for the next number from there. A restart only counts if nothing was appended between its writer's last read and the record.
 */
final class ViewLog {

    private static final int MAX_HELD_BACK = 4_096;

    private final ViewSection views;
    private final Deque<LogRecord> heldBack = new ArrayDeque<>();
    private long nextOffset;
    private long gapEnd;
    private boolean synced = true;
    private boolean read;
    private long writtenAtMs;

    ViewLog(ViewSection views) {
        this.views = views;
    }

    /** Takes in a read and tells whether it follows what was read before. */
    boolean applyRead(LogEvent.Read event, long nowMs) {
        if (event.nextOffset() < nextOffset) {
            return true;
        }
        if (event.from() > nextOffset && event.firstOffset() < event.from()) {
            return false;
        }
        if (event.firstOffset() > nextOffset) {
            synced = false;
            heldBack.clear();
            gapEnd = event.firstOffset();
            nextOffset = event.firstOffset();
        }
        read = true;
        for (LogRecord r : event.records()) {
            if (r.offset() >= nextOffset) {
                nextOffset = r.offset() + 1;
                take(r, nowMs);
            }
        }
        return true;
    }

    /** Tells whether the stream was read at all and no record is missing. */
    boolean isSynced() {
        return read && synced;
    }

    /** Tells whether the stream was read, but the view in force cannot be told. */
    boolean hasGap() {
        return read && !synced;
    }

    long nextOffset() {
        return nextOffset;
    }

    /** Returns when the view in force was last seen written, in milliseconds since the epoch. */
    long lastWrittenAtMs() {
        return writtenAtMs;
    }

    private void take(LogRecord log, long nowMs) {
        ViewRecord r = ViewRecordCodec.parse(log.data()).orElse(null);
        if (r == null) {
            return;
        }
        if (isRestart(r, log)) {
            restart(r.view().toZoneView());
            heldBack.clear();
            synced = true;
            writtenAtMs = nowMs;
        } else if (synced) {
            takeInOrder(r, nowMs);
        } else {
            holdBack(log);
            if (isBase(r)) {
                goOnFrom(r, nowMs);
            }
        }
    }

    private boolean isRestart(ViewRecord r, LogRecord log) {
        return r.kind() == ViewRecord.Kind.RESTART
                && r.readUpTo() == log.offset()
                && r.view().number() == log.offset() + 1
                && r.view().number() > views.current().number();
    }

    /** A reader that missed records must not take the older views that it knows for all that there were. */
    private void restart(ZoneView next) {
        if (synced) {
            views.install(next);
        } else {
            views.installWithHistory(List.of(), next);
        }
    }

    private void takeInOrder(ViewRecord r, long nowMs) {
        ZoneView current = views.current();
        if (r.kind() == ViewRecord.Kind.NEXT && r.view().number() == current.number() + 1) {
            views.install(r.view().toZoneView());
            writtenAtMs = nowMs;
        } else if (r.kind() == ViewRecord.Kind.REWRITE && r.view().number() == current.number()) {
            checkSame(r.view().toZoneView(), current);
            writtenAtMs = nowMs;
        }
    }

    private void holdBack(LogRecord log) {
        heldBack.add(log);
        if (heldBack.size() > MAX_HELD_BACK) {
            gapEnd = heldBack.poll().offset() + 1;
        }
    }

    private boolean isBase(ViewRecord r) {
        List<ZoneView> known = r.knownViews();
        return !known.isEmpty()
                && r.readUpTo() >= gapEnd
                && known.get(known.size() - 1).number() >= views.current().number();
    }

    private void goOnFrom(ViewRecord base, long nowMs) {
        synced = true;
        writtenAtMs = nowMs;
        List<ZoneView> known = base.knownViews();
        ZoneView inForce = known.get(known.size() - 1);
        if (inForce.number() == views.current().number()) {
            checkSame(inForce, views.current());
        } else {
            views.installWithHistory(known.subList(0, known.size() - 1), inForce);
        }
        for (LogRecord r : heldBack) {
            if (r.offset() >= base.readUpTo()) {
                ViewRecordCodec.parse(r.data()).ifPresent(v -> takeInOrder(v, nowMs));
            }
        }
        heldBack.clear();
    }

    private static void checkSame(ZoneView written, ZoneView current) {
        if (!written.uniqueId().equals(current.uniqueId())) {
            throw new InvariantViolationException("two views with number " + current.number());
        }
    }
}
