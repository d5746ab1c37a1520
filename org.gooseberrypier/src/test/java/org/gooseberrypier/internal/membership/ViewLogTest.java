package org.gooseberrypier.internal.membership;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.internal.board.ViewSection;
import org.gooseberrypier.internal.board.ZoneView;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ViewLogTest {

    private static final StreamId STREAM = StreamId.views(new ZoneId("tartu-a"));

    private final List<LogRecord> stream = new ArrayList<>();
    private final ViewSection views = new ViewSection();
    private final ViewLog log = new ViewLog(views);

    @Test
    public void firstRecordOfTheNextNumberWins() {
        ViewLogTest t = new ViewLogTest();
        t.append(ViewRecord.Kind.NEXT, 1, "a", 0);
        t.append(ViewRecord.Kind.NEXT, 1, "b", 0);
        t.append(ViewRecord.Kind.NEXT, 3, "c", 0);
        t.stream.add(new LogRecord(3, 0, Payload.of("no json")));
        t.append(ViewRecord.Kind.NEXT, 2, "d", 0);
        t.read(0, 0);
        assertEquals(t.views.current().uniqueId(), "d");
        assertEquals(t.views.older().get(0).uniqueId(), "a");
        assertTrue(t.views.isHistoryComplete());
    }

    @Test
    public void losingProposalIsNotInstalledAfterTheWinningRecordExpired() {
        ViewLogTest t = new ViewLogTest();
        t.append(ViewRecord.Kind.NEXT, 1, "a", 0);
        t.append(ViewRecord.Kind.NEXT, 2, "winner", 0);
        t.append(ViewRecord.Kind.NEXT, 2, "loser", 0);
        t.read(0, 2);
        assertTrue(t.log.hasGap());
        assertFalse(t.views.current().isPresent());
        t.append(ViewRecord.Kind.REWRITE, 2, "winner", 3);
        t.read(3, 2);
        assertEquals(t.views.current().uniqueId(), "winner");
        assertTrue(t.log.isSynced());
    }

    @Test
    public void viewAppendedBeforeTheRewriteOfItsPredecessorIsInstalled() {
        ViewLogTest t = new ViewLogTest();
        t.append(ViewRecord.Kind.NEXT, 1, "a", 0);
        t.append(ViewRecord.Kind.NEXT, 2, "b", 0);
        t.append(ViewRecord.Kind.REWRITE, 1, "a", 1);
        t.append(ViewRecord.Kind.NEXT, 2, "loser", 0);
        t.read(0, 1);
        assertEquals(t.views.current().uniqueId(), "b");
    }

    @Test
    public void rewriteWhoseWriterDidNotReadPastTheGapIsNotUsed() {
        ViewLogTest t = new ViewLogTest();
        t.append(ViewRecord.Kind.NEXT, 1, "a", 0);
        t.append(ViewRecord.Kind.NEXT, 2, "b", 0);
        t.append(ViewRecord.Kind.REWRITE, 1, "a", 1);
        t.read(0, 2);
        assertFalse(t.views.current().isPresent());
    }

    @Test
    public void restartIsAcceptedOnlyIfNothingWasAppendedSinceItsWriterRead() {
        ViewLogTest t = new ViewLogTest();
        t.append(ViewRecord.Kind.NEXT, 5, "old", 0);
        t.append(ViewRecord.Kind.NEXT, 6, "older", 0);
        t.append(ViewRecord.Kind.RESTART, 3, "first", 2);
        t.append(ViewRecord.Kind.RESTART, 3, "late", 2);
        t.read(0, 1);
        assertEquals(t.views.current().uniqueId(), "first");
        assertFalse(t.views.isHistoryComplete());
    }

    @Test
    public void restartAfterAGapDropsTheEarlierViews() {
        ViewLogTest t = new ViewLogTest();
        t.append(ViewRecord.Kind.NEXT, 1, "a", 0);
        t.read(0, 0);
        t.append(ViewRecord.Kind.NEXT, 2, "missed", 0);
        t.append(ViewRecord.Kind.RESTART, 3, "restart", 2);
        t.read(1, 2);
        assertEquals(t.views.current().uniqueId(), "restart");
        assertFalse(t.views.isHistoryComplete());
        assertTrue(t.views.older().isEmpty());
    }

    @Test
    public void readWithALowerEndOffsetIsIgnored() {
        ViewLogTest t = new ViewLogTest();
        t.append(ViewRecord.Kind.NEXT, 1, "a", 0);
        t.append(ViewRecord.Kind.NEXT, 2, "b", 0);
        t.read(0, 0);
        t.stream.clear();
        t.append(ViewRecord.Kind.NEXT, 1, "other", 0);
        t.read(0, 0);
        assertEquals(t.views.current().uniqueId(), "b");
    }

    private void append(ViewRecord.Kind kind, long number, String id, long readUpTo) {
        ZoneView view = new ZoneView(number, id, 1, List.of(new Member(new VmId("vm-1"), 1)));
        Payload data = ViewRecordCodec.format(ViewRecord.of(kind, view, readUpTo, List.of()));
        stream.add(new LogRecord(stream.size(), 0, data));
    }

    private void read(int from, int firstOffset) {
        int start = Math.max(from, firstOffset);
        log.applyRead(
                new LogEvent.Read(STREAM, from, firstOffset, stream.size(), stream.subList(start, stream.size())),
                1_000);
    }
}
