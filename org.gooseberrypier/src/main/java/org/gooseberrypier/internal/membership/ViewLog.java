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
 * Replays a zone's stream of views, so that all readers of the stream install the same view for each number.
 *
 * <p>The first record for the next number wins. A reader that missed records because they had expired resumes from the
 * views listed in a later record. The writer of that record had read the stream up to the offset {@code readUpTo} and
 * had seen no view after the listed ones, so the reader searches for the next number from that offset. A restart is
 * accepted only if nothing was appended between its writer's last read and its record.
 */
final class ViewLog {

    private static final int MAX_HELD_BACK_RECORDS = 4_096;

    private final ViewSection views;
    private final Deque<LogRecord> heldBack = new ArrayDeque<>();
    private long nextOffset;
    private long gapEndOffset;
    private boolean synced = true;
    private boolean anyRead;
    private long lastWrittenAtMs;

    ViewLog(ViewSection views) {
        this.views = views;
    }

    /**
     * Replays the records of a read.
     *
     * @param event the read; it is ignored if the end of the stream lies before the offset already reached
     * @param nowMs the time in milliseconds since the epoch
     * @return {@code false} if the read starts after the offset already reached and the stream still has records between
     *     them, otherwise {@code true}
     */
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
            gapEndOffset = event.firstOffset();
            nextOffset = event.firstOffset();
        }
        anyRead = true;
        for (LogRecord r : event.records()) {
            if (r.offset() >= nextOffset) {
                nextOffset = r.offset() + 1;
                replay(r, nowMs);
            }
        }
        return true;
    }

    /** Returns whether the stream was read and no missing record leaves the zone's current view unknown. */
    boolean isSynced() {
        return anyRead && synced;
    }

    /** Returns whether the stream was read, but missing records leave the zone's current view unknown. */
    boolean hasGap() {
        return anyRead && !synced;
    }

    long nextOffset() {
        return nextOffset;
    }

    /** Returns when a record of the current view was last read, in milliseconds since the epoch. */
    long lastWrittenAtMs() {
        return lastWrittenAtMs;
    }

    private void replay(LogRecord logRecord, long nowMs) {
        ViewRecord r = ViewRecordCodec.parse(logRecord.data()).orElse(null);
        if (r == null) {
            return;
        }
        if (isRestart(r, logRecord)) {
            restart(r.view().toZoneView());
            heldBack.clear();
            synced = true;
            lastWrittenAtMs = nowMs;
        } else if (synced) {
            applyInOrder(r, nowMs);
        } else {
            holdBack(logRecord);
            if (isUsableAsBase(r)) {
                resumeFrom(r, nowMs);
            }
        }
    }

    private boolean isRestart(ViewRecord r, LogRecord logRecord) {
        return r.kind() == ViewRecord.Kind.RESTART
                && r.readUpTo() == logRecord.offset()
                && r.view().number() == logRecord.offset() + 1
                && r.view().number() > views.current().number();
    }

    /**
     * Installs the view of a restart.
     *
     * <p>A reader that missed records also drops the older views that it knows, since it may have missed others.
     */
    private void restart(ZoneView next) {
        if (synced) {
            views.install(next);
        } else {
            views.installWithHistory(List.of(), next);
        }
    }

    private void applyInOrder(ViewRecord r, long nowMs) {
        ZoneView current = views.current();
        if (r.kind() == ViewRecord.Kind.NEXT && r.view().number() == current.number() + 1) {
            views.install(r.view().toZoneView());
            lastWrittenAtMs = nowMs;
        } else if (r.kind() == ViewRecord.Kind.REWRITE && r.view().number() == current.number()) {
            requireSameView(r.view().toZoneView(), current);
            lastWrittenAtMs = nowMs;
        }
    }

    private void holdBack(LogRecord logRecord) {
        heldBack.add(logRecord);
        if (heldBack.size() > MAX_HELD_BACK_RECORDS) {
            gapEndOffset = heldBack.poll().offset() + 1;
        }
    }

    private boolean isUsableAsBase(ViewRecord r) {
        List<ZoneView> known = r.knownViews();
        return !known.isEmpty()
                && r.readUpTo() >= gapEndOffset
                && known.get(known.size() - 1).number() >= views.current().number();
    }

    private void resumeFrom(ViewRecord base, long nowMs) {
        synced = true;
        lastWrittenAtMs = nowMs;
        List<ZoneView> known = base.knownViews();
        ZoneView inForce = known.get(known.size() - 1);
        if (inForce.number() == views.current().number()) {
            requireSameView(inForce, views.current());
        } else {
            views.installWithHistory(known.subList(0, known.size() - 1), inForce);
        }
        for (LogRecord r : heldBack) {
            if (r.offset() >= base.readUpTo()) {
                ViewRecordCodec.parse(r.data()).ifPresent(v -> applyInOrder(v, nowMs));
            }
        }
        heldBack.clear();
    }

    private static void requireSameView(ZoneView written, ZoneView current) {
        if (!written.uniqueId().equals(current.uniqueId())) {
            throw new InvariantViolationException(
                    "view stream has two different views with number " + current.number());
        }
    }
}
