package org.gooseberrypier.server.peer;

import java.util.List;
import java.util.Optional;

import org.gooseberrypier.effect.JobStatus;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskResult;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.peer.KeyRecord;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.PeerMessage;
import org.gooseberrypier.peer.ShardSnapshot;
import org.gooseberrypier.peer.SubmissionMessage;
import org.gooseberrypier.protocol.MemberProto;
import org.gooseberrypier.protocol.MembershipMessageProto;
import org.gooseberrypier.protocol.ShardCopiedProto;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

public class EnvelopeCodecTest {

    private static final Member MEMBER = new Member(new VmId("vm-1"), 77);
    private static final JobId JOB = new JobId("k/tartu/key");
    private static final Answer COMPLETE = new Answer.Complete(List.of(new TaskResult("a", Payload.of("A"))));

    @DataProvider
    public Object[][] messages() {
        IdempotencyKey key = new IdempotencyKey("key", Optional.of(5L), Optional.of(new ZoneId("tartu-a")));
        IdempotencyKey bare = new IdempotencyKey("key", Optional.empty(), Optional.empty());
        KeyRecord open = record(false, Optional.empty());
        KeyRecord ended = record(true, Optional.of(new Answer.NotRun(Reason.DEADLINE, "late", 7)));
        ShardSnapshot full = new ShardSnapshot(4, 3, 20, 30, 10, List.of(open, ended));
        JobStatus status = new JobStatus(JobStatus.State.ENDED, 2, 2, Optional.of(COMPLETE));
        return new Object[][] {
            {new SubmissionMessage.Forward(MEMBER, 3, 1, submission(key))},
            {new SubmissionMessage.Forward(MEMBER, 3, 0, submission(bare))},
            {new SubmissionMessage.ForwardAnswer(MEMBER, 3, COMPLETE)},
            {new SubmissionMessage.StatusRequest(MEMBER, 3, 2, new TeamId("tartu"), key, true)},
            {new SubmissionMessage.StatusReply(MEMBER, 3, status)},
            {new SubmissionMessage.PutRecord(4, 63, open)},
            {new SubmissionMessage.RecordHeld(4, 0, JOB, true)},
            {new SubmissionMessage.FinishedRecord(9, ended, true)},
            {new SubmissionMessage.FinishedHeld(JOB)},
            {new MembershipMessage.Heartbeat(4, 5, true, 1L << 63 | 1)},
            {new MembershipMessage.Collect(4, 9, 3, MEMBER)},
            {new MembershipMessage.Collected(4, 9, 3, MEMBER, Optional.of(full))},
            {new MembershipMessage.Collected(4, 9, 3, MEMBER, Optional.empty())},
            {new MembershipMessage.CopyShard(4, 9, 0, Optional.of(full))},
            {new MembershipMessage.CopyShard(4, 9, 3, Optional.empty())},
            {new MembershipMessage.ShardCopied(4, 9, true)},
        };
    }

    @Test(dataProvider = "messages")
    public void messageSurvivesEncodingAndDecoding(PeerMessage message) {
        assertEquals(EnvelopeCodec.message(EnvelopeCodec.toProto(MEMBER, MEMBER.vm(), message)), message);
    }

    @Test
    public void unknownShardIsRefused() {
        MembershipMessageProto wrong = MembershipMessageProto.newBuilder()
                .setShardCopied(ShardCopiedProto.newBuilder().setShard(64))
                .build();
        assertThrows(IllegalArgumentException.class, () -> MembershipMessageCodec.fromProto(wrong));
    }

    @Test
    public void memberWithoutAVmIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> MemberCodec.fromProto(MemberProto.getDefaultInstance()));
    }

    private static Submission submission(IdempotencyKey key) {
        TaskSpec task = new TaskSpec("a", Payload.of("x"), 9, new Resources(1, 2, 3));
        return new Submission(new TeamId("tartu"), new WorkId("verify"), 100, true, Optional.of(key), List.of(task));
    }

    private static KeyRecord record(boolean ended, Optional<Answer> answer) {
        return new KeyRecord(JOB, Payload.of("digest"), 5, true, 50, 2, MEMBER, ended, answer);
    }
}
