package org.gooseberrypier.internal.submission;

import java.util.List;
import java.util.Optional;

import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.PeerState;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.VmSpec;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class HomeZonesTest {

    private static final long CHANGED_MS = 1_000_000;
    private static final long BEFORE_MS = CHANGED_MS + 30_000;
    private static final long AFTER_MS = CHANGED_MS + 90_000;
    private static final TeamId TEAM = new TeamId("tartu");
    private static final VmSpec OLD = new VmSpec(new VmId("vm-1"), new ZoneId("tartu-a"), "127.0.0.1:1", false);
    private static final VmSpec NEW = new VmSpec(new VmId("vm-2"), new ZoneId("elva-c"), "127.0.0.1:2", false);

    private final Blackboard board = new Blackboard(
            DispatcherSettings.builder(new Member(NEW.id(), 1), NEW.zone()).build());
    private final HomeZones zones = new HomeZones(board);

    @Test
    public void homeFollowsTheZonesAtTheSubmissionTime() {
        HomeZonesTest t = grown();
        IdempotencyKey early = key(moved(t), BEFORE_MS);
        IdempotencyKey late = key(moved(t), AFTER_MS);
        assertEquals(t.zones.homeOf(job(early), early, AFTER_MS), Optional.of(OLD.zone()));
        assertEquals(t.zones.homeOf(job(late), late, AFTER_MS), Optional.of(NEW.zone()));
    }

    @Test
    public void movedKeyWaitsUntilTheFormerHomeKnowsTheTicket() {
        HomeZonesTest t = grown();
        IdempotencyKey late = key(moved(t), AFTER_MS);
        assertTrue(t.zones.mayStartInFormerZone(job(late), late, AFTER_MS));
        PeerState peer = new PeerState(new Member(OLD.id(), 1), AFTER_MS);
        peer.updateFromHeartbeat(true, 1, 1);
        t.board.membership().peers().put(OLD.id(), peer);
        assertTrue(t.zones.mayStartInFormerZone(job(late), late, AFTER_MS));
        peer.updateFromHeartbeat(true, 1, 2);
        assertFalse(t.zones.mayStartInFormerZone(job(late), late, AFTER_MS));
    }

    @Test
    public void movedKeyWithoutTimeAlsoWaitsForTheRetentionPeriod() {
        HomeZonesTest t = grown();
        PeerState peer = new PeerState(new Member(OLD.id(), 1), AFTER_MS);
        peer.updateFromHeartbeat(true, 1, 2);
        t.board.membership().peers().put(OLD.id(), peer);
        IdempotencyKey bare = new IdempotencyKey(moved(t), Optional.empty(), Optional.empty());
        assertTrue(t.zones.mayStartInFormerZone(job(bare), bare, AFTER_MS));
        assertFalse(t.zones.mayStartInFormerZone(job(bare), bare, AFTER_MS + 700_000));
    }

    @Test
    public void homeZoneNamedByCallerNeverChanges() {
        HomeZonesTest t = grown();
        IdempotencyKey named = new IdempotencyKey(moved(t), Optional.of(AFTER_MS), Optional.of(OLD.zone()));
        assertEquals(t.zones.homeOf(job(named), named, AFTER_MS), Optional.of(OLD.zone()));
        assertFalse(t.zones.mayStartInFormerZone(job(named), named, AFTER_MS));
    }

    /** Returns zones of which the second one came by the second ticket. */
    private static HomeZonesTest grown() {
        HomeZonesTest t = new HomeZonesTest();
        Configuration first = Configuration.NONE.apply(ticket(1, OLD), 0, 0);
        t.board.tickets().setInForce(first.apply(ticket(2, OLD, NEW), 1, CHANGED_MS));
        return t;
    }

    /** Finds a key whose home moved to the new zone. */
    private static String moved(HomeZonesTest t) {
        for (int i = 0; ; i++) {
            IdempotencyKey k = key("key-" + i, AFTER_MS);
            if (t.zones.homeOf(job(k), k, AFTER_MS).equals(Optional.of(NEW.zone()))) {
                return k.value();
            }
        }
    }

    private static IdempotencyKey key(String value, long atMs) {
        return new IdempotencyKey(value, Optional.of(atMs), Optional.empty());
    }

    private static JobId job(IdempotencyKey key) {
        return JobId.keyed(TEAM, key.value());
    }

    private static Ticket ticket(long number, VmSpec... vms) {
        return new Ticket(
                number,
                "t-" + number,
                "operator",
                "test",
                Optional.of(List.of(vms)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }
}
