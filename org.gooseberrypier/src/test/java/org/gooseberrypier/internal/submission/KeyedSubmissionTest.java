package org.gooseberrypier.internal.submission;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.effect.JobStatus;
import org.gooseberrypier.event.LifecycleEvent;
import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.SubmissionMessage;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/** Tests deduplication, replication and recovery of keyed submissions in a zone with virtual time. */
public class KeyedSubmissionTest {

    private static final String[] THREE_VMS = {"vm-1", "vm-2", "vm-3"};

    @Test
    public void resubmissionToAnyVmJoinsTheRunningJob() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        long first = zone.submit("vm-1", s);
        long second = zone.submit("vm-2", s);
        zone.run(500);
        long third = zone.submit("vm-3", s);
        zone.run(500);
        assertTrue(zone.answers.get(first) instanceof Answer.Complete, zone.answers.toString());
        assertEquals(zone.answers.get(second), zone.answers.get(first));
        assertEquals(zone.answers.get(third), zone.answers.get(first));
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void reusedKeyWithDifferentBodyIsRefused() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        zone.submit("vm-1", s);
        zone.run(500);
        IdempotencyKey key = s.key().orElseThrow();
        Submission other = new Submission(
                s.team(),
                s.work(),
                1_000,
                false,
                Optional.of(key),
                List.of(s.tasks().get(0)));
        long call = zone.submit("vm-2", other);
        zone.run(500);
        assertEquals(reason(zone.answers.get(call)), Reason.KEY_REUSED);
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void nothingStartsBeforeTheBackupHoldsTheRecord() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        zone.dropped = m -> m instanceof SubmissionMessage.RecordHeld;
        long call = zone.submit("vm-1", zone.keyed("k", "x"));
        zone.run(5_000);
        assertEquals(zone.starts("k"), 0);
        zone.dropped = m -> false;
        zone.run(1_000);
        assertTrue(zone.answers.get(call) instanceof Answer.Complete);
    }

    @Test
    public void backupTakesOverWhenThePrimaryDiesAfterTheStart() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        zone.taskRunMs = 60_000;
        Submission s = zone.keyed("k", "x");
        VmId primary = primary(zone, "k");
        String other = other(zone, primary);
        zone.submit(primary.name(), s);
        zone.run(100);
        assertEquals(zone.starts("k"), 2);
        zone.kill(primary);
        zone.run(5_000);
        long again = zone.submit(other, s);
        zone.run(1_000);
        assertTrue(zone.answers.get(again) instanceof Answer.Unknown, zone.answers.toString());
        long fresh = zone.submit(other, zone.keyed("k2", "x"));
        zone.taskRunMs = 50;
        zone.run(1_000);
        assertEquals(zone.starts("k"), 2);
        assertTrue(zone.answers.containsKey(fresh) || zone.starts("k2") == 2);
    }

    @Test
    public void finishedAnswerSurvivesItsPrimary() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        VmId primary = primary(zone, "k");
        zone.submit(primary.name(), s);
        zone.run(500);
        zone.kill(primary);
        zone.run(5_000);
        long again = zone.submit(other(zone, primary), s);
        zone.run(1_000);
        assertTrue(zone.answers.get(again) instanceof Answer.Complete, zone.answers.toString());
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void pausedPrimaryStartsNothingAfterResume() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        VmId primary = primary(zone, "k");
        zone.dropped = m -> m instanceof SubmissionMessage.RecordHeld;
        zone.submit(primary.name(), s);
        zone.run(100);
        FakeZone.Node node = zone.nodes.get(primary);
        node.paused = true;
        zone.dropped = m -> false;
        zone.run(6_000);
        long again = zone.submit(other(zone, primary), s);
        zone.run(1_000);
        zone.resume(node);
        zone.run(5_000);
        assertTrue(zone.answers.containsKey(again));
        assertTrue(zone.starts("k") <= 2, zone.starts.toString());
    }

    @Test
    public void lossOfBothHoldersMakesOldKeysUnknownAndServesNewKeys() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        ShardHolders holders = holders(zone, "k");
        zone.submit(holders.primary().vm().name(), s);
        zone.run(500);
        String third = zone.nodes.keySet().stream()
                .filter(v -> holders.list().stream().noneMatch(m -> m.vm().equals(v)))
                .findFirst()
                .orElseThrow()
                .name();
        holders.list().forEach(m -> zone.kill(m.vm()));
        zone.run(15_000);
        long old = zone.submit(third, s);
        long fresh = zone.submit(third, zone.keyed("k-fresh", "x"));
        zone.run(2_000);
        assertEquals(reason(zone.answers.get(old)), Reason.RECORDS_LOST);
        assertTrue(zone.answers.get(fresh) instanceof Answer.Complete, zone.answers.toString());
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void shardIsNotActivatedElsewhereWhileBothHoldersArePartitioned() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        ShardHolders holders = holders(zone, "k");
        VmId third = zone.nodes.keySet().stream()
                .filter(v -> holders.list().stream().noneMatch(m -> m.vm().equals(v)))
                .findFirst()
                .orElseThrow();
        zone.partitioned = (from, to) -> from.equals(third) != to.equals(third);
        zone.logUnavailable = vm -> !vm.equals(third);
        zone.run(10_000);
        Submission s = zone.keyed("k", "x");
        long there = zone.submit(third.name(), s);
        long here = zone.submit(holders.primary().vm().name(), s);
        zone.run(5_000);
        assertTrue(zone.answers.get(there) instanceof Answer.Unknown, zone.answers.toString());
        assertTrue(zone.answers.get(here) instanceof Answer.Complete, zone.answers.toString());
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void restartedZoneServesNewKeys() {
        FakeZone zone = FakeZone.running("vm-1");
        Submission s = zone.keyed("k", "x");
        zone.submit("vm-1", s);
        zone.run(500);
        zone.kill(new VmId("vm-1"));
        zone.startVm(new VmId("vm-1"));
        zone.run(10_000);
        long old = zone.submit("vm-1", s);
        long fresh = zone.submit("vm-1", zone.keyed("k2", "x"));
        zone.run(1_000);
        assertEquals(reason(zone.answers.get(old)), Reason.RECORDS_LOST);
        assertTrue(zone.answers.get(fresh) instanceof Answer.Complete, zone.answers.toString());
    }

    @Test
    public void activeShardsKeepServingDuringLogOutage() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        zone.logUnavailable = vm -> true;
        zone.run(60_000);
        long call = zone.submit("vm-1", zone.keyed("k", "x"));
        zone.run(1_000);
        assertTrue(zone.answers.get(call) instanceof Answer.Complete);
        VmId primary = primary(zone, "k2");
        zone.kill(primary);
        long keyed = zone.submit(other(zone, primary), zone.keyed("k2", "x"));
        long keyless = zone.submit(other(zone, primary), zone.keyless());
        zone.run(20_000);
        assertTrue(zone.answers.get(keyed) instanceof Answer.Unknown, zone.answers.toString());
        assertTrue(zone.answers.get(keyless) instanceof Answer.Complete);
    }

    @Test
    public void stoppedVmHandsOverItsShardsAndExits() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        VmId primary = primary(zone, "k");
        zone.taskRunMs = 1_000;
        long call = zone.submit(primary.name(), s);
        zone.run(100);
        zone.publish(List.of(THREE_VMS), Set.of(primary.name()));
        zone.run(10_000);
        assertTrue(zone.answers.get(call) instanceof Answer.Complete, zone.answers.toString());
        assertTrue(zone.nodes.get(primary).exited);
        long again = zone.submit(other(zone, primary), s);
        zone.run(3_000);
        assertTrue(zone.answers.get(again) instanceof Answer.Complete, zone.answers.toString());
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void stopTimeoutAnswersWaitingCallers() {
        FakeZone zone = FakeZone.running("vm-1");
        zone.taskRunMs = 300_000;
        Submission s = zone.keyed("k", "x");
        long call = zone.submit("vm-1", s.withDeadline(60_000));
        zone.run(100);
        zone.handle(zone.node("vm-1"), new LifecycleEvent.StopRequested());
        long late = zone.submit("vm-1", zone.keyless());
        zone.run(31_000);
        assertTrue(zone.answers.get(late) instanceof Answer.NotRun, zone.answers.toString());
        assertEquals(reason(zone.answers.get(call)), Reason.STOPPING);
        assertTrue(zone.node("vm-1").exited);
    }

    @Test
    public void answersBeyondTheBoundAreDroppedAndTheirKeysKept() {
        FakeZone zone = FakeZone.running("vm-1");
        Submission s = zone.keyed("k", "x".repeat(4_000_000));
        zone.submit("vm-1", s);
        zone.run(1_000);
        for (int i = 0; i < 8; i++) {
            zone.submit("vm-1", zone.keyed("more-" + i, "y".repeat(4_000_000)));
            zone.run(1_000);
        }
        long again = zone.submit("vm-1", s);
        zone.run(1_000);
        assertEquals(reason(zone.answers.get(again)), Reason.RECORDS_LOST);
        assertEquals(zone.starts("k"), 2);
        assertTrue(zone.node("vm-1").core.board().shards().answerBytes() <= 64L << 20);
    }

    @Test
    public void resubmissionDuringHandOverWaitsForTheOldPrimary() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        VmId primary = primary(zone, "k");
        zone.taskRunMs = 4_000;
        zone.submit(primary.name(), s);
        zone.run(100);
        zone.publish(List.of(THREE_VMS), Set.of(primary.name()));
        zone.run(2_000);
        long again = zone.submit(other(zone, primary), s);
        zone.run(6_000);
        assertTrue(zone.answers.get(again) instanceof Answer.Complete, zone.answers.toString());
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void keyWithoutTimeIsRefusedForTheRetentionPeriodAfterRecordLoss() {
        FakeZone zone = FakeZone.running("vm-1");
        zone.kill(new VmId("vm-1"));
        zone.startVm(new VmId("vm-1"));
        zone.run(10_000);
        Submission s = zone.keyed("k", "x");
        IdempotencyKey key = new IdempotencyKey("opaque", Optional.empty(), Optional.of(FakeZone.ZONE));
        Submission opaque = new Submission(s.team(), s.work(), 1_000, false, Optional.of(key), s.tasks());
        long early = zone.submit("vm-1", opaque);
        zone.run(620_000);
        long late = zone.submit("vm-1", opaque);
        zone.run(1_000);
        assertEquals(reason(zone.answers.get(early)), Reason.RECORDS_LOST);
        assertTrue(zone.answers.get(late) instanceof Answer.Complete, zone.answers.toString());
    }

    @Test
    public void keyOlderThanTheRetentionIsRefused() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        zone.submit("vm-1", s);
        zone.run(700_000);
        long late = zone.submit("vm-1", s);
        zone.run(1_000);
        assertEquals(reason(zone.answers.get(late)), Reason.KEY_EXPIRED);
        assertEquals(zone.starts("k"), 2);
        assertEquals(zone.node("vm-1").core.board().shards().keys(), 0);
    }

    @Test
    public void jobCancelledBeforeItsRecordIsReplicatedNeverRuns() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        zone.dropped = m -> m instanceof SubmissionMessage.RecordHeld;
        long call = zone.submit("vm-1", s);
        zone.run(50);
        zone.cancel("vm-2", s.key().orElseThrow());
        zone.run(50);
        zone.dropped = m -> false;
        zone.run(1_000);
        long again = zone.submit("vm-3", s);
        zone.run(1_000);
        assertTrue(zone.answers.get(call) instanceof Answer.NotRun, zone.answers.toString());
        assertEquals(zone.answers.get(again), zone.answers.get(call));
        assertEquals(zone.starts("k"), 0);
    }

    @Test
    public void statusOfEndedJobContainsItsAnswer() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        zone.submit("vm-1", s);
        zone.run(500);
        long call = zone.cancel("vm-2", s.key().orElseThrow());
        zone.run(500);
        assertEquals(zone.statuses.get(call).state(), JobStatus.State.ENDED);
        assertTrue(zone.statuses.get(call).answer().orElseThrow() instanceof Answer.Complete);
    }

    @Test
    public void forwardWithoutAnAnswerIsUnknown() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        VmId primary = primary(zone, "k");
        zone.dropped = m -> m instanceof SubmissionMessage.ForwardAnswer;
        long call = zone.submit(other(zone, primary), zone.keyed("k", "x"));
        zone.run(20_000);
        assertTrue(zone.answers.get(call) instanceof Answer.Unknown);
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void recoverySkipsViewThatNeverBecameActive() {
        FakeZone zone = FakeZone.running(THREE_VMS);
        Submission s = zone.keyed("k", "x");
        VmId primary = primary(zone, "k");
        zone.submit(primary.name(), s);
        zone.run(500);
        zone.dropped = m -> m instanceof MembershipMessage.CopyShard;
        zone.startVm(new VmId("vm-3"));
        zone.run(8_000);
        zone.startVm(new VmId("vm-3"));
        zone.run(8_000);
        zone.dropped = m -> false;
        zone.run(5_000);
        long again = zone.submit("vm-3", s);
        zone.run(3_000);
        assertFalse(zone.answers.get(again) instanceof Answer.NotRun, zone.answers.toString());
        assertEquals(zone.starts("k"), 2);
    }

    @Test
    public void disconnectedCallerIsNotAnsweredAndItsJobEnds() {
        FakeZone zone = FakeZone.running("vm-1");
        long call = zone.submit("vm-1", zone.keyless());
        zone.handle(zone.node("vm-1"), new org.gooseberrypier.event.CallerEvent.Disconnected(call));
        zone.run(1_000);
        assertNull(zone.answers.get(call));
        assertTrue(zone.node("vm-1").core.board().submissions().jobs().isEmpty());
    }

    private static ShardHolders holders(FakeZone zone, String key) {
        int shard = ShardHolders.shardOf(JobId.keyed(FakeZone.TEAM, key));
        return zone.node("vm-1").core.board().views().current().holders(shard);
    }

    private static VmId primary(FakeZone zone, String key) {
        return holders(zone, key).primary().vm();
    }

    private static String other(FakeZone zone, VmId vm) {
        return zone.nodes.keySet().stream()
                .filter(v -> !v.equals(vm))
                .findFirst()
                .orElseThrow()
                .name();
    }

    private static Reason reason(Answer answer) {
        assertTrue(answer instanceof Answer.Unknown, String.valueOf(answer));
        return ((Answer.Unknown) answer).reason();
    }
}
