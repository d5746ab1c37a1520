package org.gooseberrypier.server.pool;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.protocol.ToOwnerProto;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class OutboxTest {

    private final Outbox<ToOwnerProto> outbox =
            new Outbox<>((earlier, later) -> message(earlier.getWithdraw() + "+" + later.getWithdraw()));

    private static ToOwnerProto message(String text) {
        return ToOwnerProto.newBuilder().setWithdraw(text).build();
    }

    private List<String> pollAll() {
        List<String> texts = new ArrayList<>();
        while (!outbox.isEmpty()) {
            texts.add(outbox.poll().getWithdraw());
        }
        return texts;
    }

    @Test
    public void periodicMessageReplacesTheWaitingOneAndKeepsItsPlaceAfterEarlierMessages() {
        outbox.clear();
        outbox.offer(message("a"));
        outbox.offerPeriodic(message("beat-1"));
        outbox.offer(message("b"));
        outbox.offerPeriodic(message("beat-2"));
        outbox.offerPeriodic(message("beat-3"));
        assertEquals(pollAll(), List.of("a", "b", "beat-1+beat-2+beat-3"));
    }

    @Test
    public void periodicMessageThatWasPolledIsNotMerged() {
        outbox.clear();
        outbox.offerPeriodic(message("beat-1"));
        assertEquals(pollAll(), List.of("beat-1"));
        outbox.offerPeriodic(message("beat-2"));
        assertEquals(pollAll(), List.of("beat-2"));
        assertEquals(outbox.poll(), null);
    }

    @Test
    public void numberOfMessagesIsBounded() {
        outbox.clear();
        for (int i = 0; i < Outbox.MAX_MESSAGES; i++) {
            assertTrue(outbox.offer(message("m")));
        }
        assertFalse(outbox.offer(message("m")));
        outbox.poll();
        assertTrue(outbox.offer(message("m")));
    }

    @Test
    public void sizeOfMessagesIsBounded() {
        outbox.clear();
        ToOwnerProto half = message("x".repeat((int) (Outbox.MAX_BYTES / 2)));
        assertTrue(outbox.offer(half));
        assertFalse(outbox.offer(half));
        outbox.poll();
        assertTrue(outbox.offer(half));
    }
}
