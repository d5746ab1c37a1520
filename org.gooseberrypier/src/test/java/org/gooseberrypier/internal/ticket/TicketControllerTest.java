package org.gooseberrypier.internal.ticket;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.TicketMessage;
import org.gooseberrypier.ticket.Tickets;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class TicketControllerTest {

    private static final long HOUR_MS = 3_600_000;
    private static final long STEP_MS = 100;

    @Test
    public void vmWithoutLogGetsConfigurationFromPeer() {
        FakeTicketLog log = new FakeTicketLog();
        log.append(Tickets.allSections(1, "large", 5_000), true, 0);
        TicketVm known = new TicketVm("vm-1", "tartu-a", 1, log);
        known.readLog(10, 1_000);
        known.effects.clear();
        TicketVm fresh = new TicketVm("vm-2", "tartu-b", 2, log);
        heartbeat(known, fresh);
        deliver(fresh, known);
        int parts = known.effects.size();
        deliver(known, fresh);
        assertTrue(parts > 1, parts + " parts");
        assertEquals(fresh.inForce(), known.inForce());
        assertFalse(fresh.effects.stream().anyMatch(e -> e instanceof Effect.AppendLog));
    }

    @Test
    public void smallTicketIsPushedToPeerOnAcceptance() {
        FakeTicketLog log = new FakeTicketLog();
        log.append(Tickets.allSections(1, "t-1", 3), true, 0);
        TicketVm near = new TicketVm("vm-1", "tartu-a", 1, log);
        TicketVm cutOff = new TicketVm("vm-2", "tartu-b", 2, log);
        near.readLog(10, 1_000);
        cutOff.readLog(10, 1_000);
        near.effects.clear();
        log.append(Tickets.teamsOnly(2, "t-2", 5), true, 2_000);
        near.readLog(10, 2_000);
        deliver(near, cutOff);
        assertEquals(cutOff.inForce().uniqueId(), "t-2");
    }

    @Test
    public void ticketsOfOneReadTakeEffectTogether() {
        FakeTicketLog log = new FakeTicketLog();
        log.append(Tickets.allSections(1, "t-1", 3), true, 0);
        log.append(Tickets.teamsOnly(2, "t-2", 5), true, 0);
        TicketVm vm = new TicketVm("vm-1", "tartu-a", 1, log);
        vm.readLog(10, 1_000);
        List<Effect> changes = vm.effects.stream()
                .filter(e -> e instanceof Effect.ApplyConfiguration)
                .toList();
        assertEquals(changes, List.of(new Effect.ApplyConfiguration(vm.inForce())));
        assertEquals(vm.inForce().number(), 2);
    }

    @Test
    public void repeatedStreamFaultIsAuditedOncePerMinute() {
        FakeTicketLog log = new FakeTicketLog();
        log.append(Tickets.allSections(1, "t-1", 3), true, 0);
        TicketVm vm = new TicketVm("vm-1", "tartu-a", 1, log);
        vm.readLog(10, 1_000);
        for (int i = 0; i < 100; i++) {
            vm.handle(new LogEvent.Read(StreamId.TICKETS, 1, 0, 0, List.of()), 2_000 + i);
        }
        long said = vm.effects.stream()
                .filter(e -> e instanceof Effect.Audit a && a.entry().kind() == AuditEntry.Kind.TICKET_STREAM_BROKEN)
                .count();
        assertEquals(said, 1);
    }

    @Test
    public void sevenVmsWriteAboutOneCheckpointPerInterval() {
        FakeTicketLog log = new FakeTicketLog();
        log.append(Tickets.allSections(1, "t-1", 30), true, 0);
        List<TicketVm> vms = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            vms.add(new TicketVm("vm-" + i, "tartu-a", 10 + i, log));
        }
        for (long nowMs = 0; nowMs < 24 * HOUR_MS; nowMs += STEP_MS) {
            for (TicketVm v : vms) {
                v.advance(nowMs);
                appendAll(v, log, nowMs);
            }
            if (log.nextOffset() > vms.get(0).readFrom()) {
                long atMs = nowMs;
                vms.forEach(v -> v.readLog(10, atMs));
            }
        }
        long written = log.nextOffset() - 1;
        System.out.println("event=checkpoints vms=7 hours=24 written=" + written);
        long intervals = 24 * HOUR_MS / CheckpointWriter.INTERVAL_MS;
        assertTrue(written >= intervals / 2 && written <= 2 * intervals, written + " checkpoints");
    }

    private static void appendAll(TicketVm vm, FakeTicketLog log, long nowMs) {
        for (Effect e : vm.effects) {
            if (e instanceof Effect.AppendLog a) {
                log.append(a.data(), nowMs);
            }
        }
        vm.effects.clear();
    }

    private static void heartbeat(TicketVm from, TicketVm to) {
        var message = new MembershipMessage.Heartbeat(0, from.inForce().number(), true, 0);
        to.handle(new PeerEvent.Received(from.self, message), 2_000);
    }

    private static void deliver(TicketVm from, TicketVm to) {
        List<Effect> effects = List.copyOf(from.effects);
        from.effects.clear();
        for (Effect e : effects) {
            if (e instanceof Effect.SendPeer s && s.message() instanceof TicketMessage) {
                assertEquals(s.to(), to.self.vm());
                to.handle(new PeerEvent.Received(from.self, s.message()), 2_000);
            }
        }
    }
}
