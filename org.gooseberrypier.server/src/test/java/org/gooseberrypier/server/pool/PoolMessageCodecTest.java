package org.gooseberrypier.server.pool;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.protocol.ToEntryProto;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class PoolMessageCodecTest {

    private static final VmIncarnation VM = new VmIncarnation("10.0.0.1:7000", "zone-a", 5, 750);
    private static final PoolJob JOB = new PoolJob(
            "0123456789abcdef", "queue", "service", "payload", 8, 6_800, 256, 60, 1, 3, 1.6, 60, "r1", "label");

    @DataProvider
    public Object[][] messagesToEntries() {
        return new Object[][] {
            {new PoolMessage.TaskDone("job", 3)},
            {new PoolMessage.JobFinished("job", new JobOutcome.Completed())},
            {new PoolMessage.JobFinished("job", new JobOutcome.Failed("why"))},
            {new PoolMessage.JobFinished("job", new JobOutcome.Refused("why", 700))},
            {new PoolMessage.JobFinished("job", new JobOutcome.Unknown("why"))},
            {new PoolMessage.Heartbeat(7, 17, List.of(VM), Map.of("queue", 4), false)},
            {new PoolMessage.Heartbeat(7, 17, List.of(), Map.of(), true)},
            {new PoolMessage.JobNotAdmitted("job")},
            {new PoolMessage.NotOwner(9)},
        };
    }

    @Test(dataProvider = "messagesToEntries")
    public void messagesToEntriesAreDecodedAsTheyWereEncoded(PoolMessage.ToEntry message) {
        assertEquals(PoolMessageCodec.decode(PoolMessageCodec.encode(message)), Optional.of(message));
    }

    @Test
    public void messagesToTheOwnerAreDecodedAsTheyWereEncoded() {
        PoolMessage.ToOwner forward = new PoolMessage.ForwardJob(JOB, 120, 2, List.of(0, 7), true, 1_500);
        PoolMessage.ToOwner unlimited =
                new PoolMessage.ForwardJob(JOB, 120, 2, List.of(), false, PoolMessage.ForwardJob.UNLIMITED);
        assertEquals(PoolMessageCodec.decode(PoolMessageCodec.encode(unlimited)), Optional.of(unlimited));
        PoolMessage.ToOwner extend = new PoolMessage.ExtendJob("job", 1_500);
        assertEquals(PoolMessageCodec.decode(PoolMessageCodec.encode(extend)), Optional.of(extend));
        assertEquals(PoolMessageCodec.decode(PoolMessageCodec.encode(forward)), Optional.of(forward));
        PoolMessage.ToOwner withdraw = new PoolMessage.WithdrawJob("job");
        assertEquals(PoolMessageCodec.decode(PoolMessageCodec.encode(withdraw)), Optional.of(withdraw));
        PoolMessage.ToOwner begin = new PoolMessage.ForwardsBegin();
        assertEquals(PoolMessageCodec.decode(PoolMessageCodec.encode(begin)), Optional.of(begin));
        PoolMessage.ToOwner received = new PoolMessage.HeartbeatReceived(17);
        assertEquals(PoolMessageCodec.decode(PoolMessageCodec.encode(received)), Optional.of(received));
    }

    private static ToEntryProto merge(PoolMessage.Heartbeat earlier, PoolMessage.Heartbeat later) {
        return PoolMessageCodec.mergeHeartbeats(PoolMessageCodec.encode(earlier), PoolMessageCodec.encode(later));
    }

    @Test
    public void mergedHeartbeatKeepsTheSuccessorsThatTheLaterOneLeavesOut() {
        ToEntryProto merged = merge(
                new PoolMessage.Heartbeat(7, 17, List.of(VM), Map.of("queue", 4), false),
                new PoolMessage.Heartbeat(8, 18, List.of(), Map.of("queue", 2), false));
        assertEquals(
                PoolMessageCodec.decode(merged),
                Optional.of(new PoolMessage.Heartbeat(8, 18, List.of(VM), Map.of("queue", 2), false)));
    }

    @Test
    public void mergedHeartbeatHasTheSuccessorsOfTheLaterOne() {
        VmIncarnation other = new VmIncarnation("10.0.0.2:7000", "zone-b", 6, 1_500);
        ToEntryProto merged = merge(
                new PoolMessage.Heartbeat(7, 17, List.of(VM), Map.of(), false),
                new PoolMessage.Heartbeat(7, 17, List.of(other), Map.of(), false));
        assertEquals(
                PoolMessageCodec.decode(merged),
                Optional.of(new PoolMessage.Heartbeat(7, 17, List.of(other), Map.of(), false)));
    }
}
