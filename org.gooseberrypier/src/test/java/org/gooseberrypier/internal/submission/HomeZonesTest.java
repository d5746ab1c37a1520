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

/** Tests the home zone of keys before and after a ticket adds a zone. */
public class HomeZonesTest {

    private static final long ZONES_CHANGED_AT_MS = 1_000_000;
    private static final long BEFORE_EFFECTIVE_MS = ZONES_CHANGED_AT_MS + 30_000;
    private static final long AFTER_EFFECTIVE_MS = ZONES_CHANGED_AT_MS + 90_000;
    private static final TeamId TEAM = new TeamId("tartu");
    private static final VmSpec OLD_VM = new VmSpec(new VmId("vm-1"), new ZoneId("tartu-a"), "127.0.0.1:1", false);
    private static final VmSpec NEW_VM = new VmSpec(new VmId("vm-2"), new ZoneId("elva-c"), "127.0.0.1:2", false);

    private final Blackboard board =
            new Blackboard(DispatcherSettings.builder(new Member(NEW_VM.id(), 1), NEW_VM.zone())
                    .build());
    private final HomeZones zones = new HomeZones(board);

    @Test
    public void homeFollowsTheZonesAtTheSubmissionTime() {
        HomeZonesTest t = withSecondZone();
        IdempotencyKey early = key(movedKey(t), BEFORE_EFFECTIVE_MS);
        IdempotencyKey late = key(movedKey(t), AFTER_EFFECTIVE_MS);
        assertEquals(t.zones.homeOf(job(early), early, AFTER_EFFECTIVE_MS), Optional.of(OLD_VM.zone()));
        assertEquals(t.zones.homeOf(job(late), late, AFTER_EFFECTIVE_MS), Optional.of(NEW_VM.zone()));
    }

    @Test
    public void movedKeyWaitsUntilTheFormerHomeKnowsTheTicket() {
        HomeZonesTest t = withSecondZone();
        IdempotencyKey late = key(movedKey(t), AFTER_EFFECTIVE_MS);
        assertTrue(t.zones.mayStartInFormerZone(job(late), late, AFTER_EFFECTIVE_MS));
        PeerState peer = new PeerState(new Member(OLD_VM.id(), 1), AFTER_EFFECTIVE_MS);
        peer.updateFromHeartbeat(true, 1, 1);
        t.board.membership().peers().put(OLD_VM.id(), peer);
        assertTrue(t.zones.mayStartInFormerZone(job(late), late, AFTER_EFFECTIVE_MS));
        peer.updateFromHeartbeat(true, 1, 2);
        assertFalse(t.zones.mayStartInFormerZone(job(late), late, AFTER_EFFECTIVE_MS));
    }

    @Test
    public void movedKeyWithoutTimeAlsoWaitsForTheRetentionPeriod() {
        HomeZonesTest t = withSecondZone();
        PeerState peer = new PeerState(new Member(OLD_VM.id(), 1), AFTER_EFFECTIVE_MS);
        peer.updateFromHeartbeat(true, 1, 2);
        t.board.membership().peers().put(OLD_VM.id(), peer);
        IdempotencyKey bare = new IdempotencyKey(movedKey(t), Optional.empty(), Optional.empty());
        assertTrue(t.zones.mayStartInFormerZone(job(bare), bare, AFTER_EFFECTIVE_MS));
        assertFalse(t.zones.mayStartInFormerZone(job(bare), bare, AFTER_EFFECTIVE_MS + 700_000));
    }

    @Test
    public void homeZoneNamedByCallerNeverChanges() {
        HomeZonesTest t = withSecondZone();
        IdempotencyKey named =
                new IdempotencyKey(movedKey(t), Optional.of(AFTER_EFFECTIVE_MS), Optional.of(OLD_VM.zone()));
        assertEquals(t.zones.homeOf(job(named), named, AFTER_EFFECTIVE_MS), Optional.of(OLD_VM.zone()));
        assertFalse(t.zones.mayStartInFormerZone(job(named), named, AFTER_EFFECTIVE_MS));
    }

    /** Creates home zones after a second ticket has added a second zone. */
    private static HomeZonesTest withSecondZone() {
        HomeZonesTest t = new HomeZonesTest();
        Configuration first = Configuration.NONE.apply(ticket(1, OLD_VM), 0, 0);
        t.board.tickets().setInForce(first.apply(ticket(2, OLD_VM, NEW_VM), 1, ZONES_CHANGED_AT_MS));
        return t;
    }

    /** Finds a key whose home zone has changed to the new zone. */
    private static String movedKey(HomeZonesTest t) {
        for (int i = 0; ; i++) {
            IdempotencyKey k = key("key-" + i, AFTER_EFFECTIVE_MS);
            if (t.zones.homeOf(job(k), k, AFTER_EFFECTIVE_MS).equals(Optional.of(NEW_VM.zone()))) {
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
