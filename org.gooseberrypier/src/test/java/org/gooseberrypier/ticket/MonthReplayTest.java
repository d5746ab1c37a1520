package org.gooseberrypier.ticket;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.log.LogRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class MonthReplayTest {

    private static final int RECORDS = 72_000;
    private static final int ENDPOINTS = 30;
    private static final int BATCH = 1_000;

    @Test
    public void everyTicketOfAMonthIsAccepted() {
        List<LogRecord> records = new ArrayList<>();
        long bytes = 0;
        for (int i = 0; i < RECORDS; i++) {
            Ticket ticket = i % 2 == 0
                    ? Tickets.allSections(i + 1, "t-" + i, ENDPOINTS)
                    : Tickets.teamsOnly(i + 1, "t-" + i, i);
            records.add(Tickets.record(i, ticket));
            bytes += records.get(i).data().size();
        }
        TicketReplay replay = new TicketReplay();
        long start = System.nanoTime();
        for (int i = 0; i < RECORDS; i += BATCH) {
            replay.applyRead(0, RECORDS, records.subList(i, i + BATCH));
        }
        long tookMs = (System.nanoTime() - start) / 1_000_000;
        System.out.println("event=month-replay records=" + RECORDS + " bytes=" + bytes + " tookMs=" + tookMs);
        assertEquals(replay.inForce().number(), RECORDS);
    }
}
