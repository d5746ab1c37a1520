package org.gooseberrypier.server.pool;

import java.util.Optional;

import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.protocol.ExtendProto;
import org.gooseberrypier.protocol.FinishedProto;
import org.gooseberrypier.protocol.PoolHeartbeatProto;
import org.gooseberrypier.protocol.PoolJobProto;
import org.gooseberrypier.protocol.PresentProto;
import org.gooseberrypier.protocol.TaskDoneProto;
import org.gooseberrypier.protocol.ToEntryProto;
import org.gooseberrypier.protocol.ToOwnerProto;
import org.gooseberrypier.protocol.VmContactProto;

/** Encodes and decodes the messages between an entry VM and the owner of the pool as Protocol Buffers. */
final class PoolMessageCodec {

    private PoolMessageCodec() {}

    static VmContactProto encode(VmIncarnation vm) {
        return VmContactProto.newBuilder()
                .setAddress(vm.address())
                .setZone(vm.zone())
                .setIncarnation(vm.incarnation())
                .setMilliCores(vm.milliCores())
                .build();
    }

    static VmIncarnation decode(VmContactProto vm) {
        return new VmIncarnation(vm.getAddress(), vm.getZone(), vm.getIncarnation(), vm.getMilliCores());
    }

    static ToOwnerProto encode(PoolMessage.ToOwner message) {
        if (message instanceof PoolMessage.ForwardJob p) {
            PresentProto.Builder present = PresentProto.newBuilder()
                    .setJob(encode(p.job()))
                    .setAgeMs(p.ageMs())
                    .setHandovers(p.earlierOwners())
                    .addAllDoneTasks(p.doneTasks())
                    .setUnknownEndpoints(p.unknownEndpoints())
                    .setAwaitedMs(encodeAwaited(p.awaitedMs()));
            return ToOwnerProto.newBuilder().setPresent(present).build();
        }
        if (message instanceof PoolMessage.HeartbeatReceived h) {
            return ToOwnerProto.newBuilder().setHeartbeatReceived(h.sentAtMs()).build();
        }
        if (message instanceof PoolMessage.ForwardsBegin) {
            return ToOwnerProto.newBuilder().setPresentsBegin(true).build();
        }
        if (message instanceof PoolMessage.ExtendJob x) {
            ExtendProto.Builder extend =
                    ExtendProto.newBuilder().setJob(x.job()).setAwaitedMs(encodeAwaited(x.awaitedMs()));
            return ToOwnerProto.newBuilder().setExtend(extend).build();
        }
        PoolMessage.WithdrawJob w = (PoolMessage.WithdrawJob) message;
        return ToOwnerProto.newBuilder().setWithdraw(w.job()).build();
    }

    static Optional<PoolMessage.ToOwner> decode(ToOwnerProto message) {
        return switch (message.getMessageCase()) {
            case PRESENT -> Optional.of(decode(message.getPresent()));
            case HEARTBEAT_RECEIVED -> Optional.of(new PoolMessage.HeartbeatReceived(message.getHeartbeatReceived()));
            case WITHDRAW -> Optional.of(new PoolMessage.WithdrawJob(message.getWithdraw()));
            case PRESENTS_BEGIN -> Optional.of(new PoolMessage.ForwardsBegin());
            case EXTEND ->
                Optional.of(new PoolMessage.ExtendJob(
                        message.getExtend().getJob(),
                        decodeAwaited(message.getExtend().getAwaitedMs())));
            default -> Optional.empty();
        };
    }

    private static PoolMessage.ForwardJob decode(PresentProto p) {
        return new PoolMessage.ForwardJob(
                decode(p.getJob()),
                p.getAgeMs(),
                p.getHandovers(),
                p.getDoneTasksList(),
                p.getUnknownEndpoints(),
                decodeAwaited(p.getAwaitedMs()));
    }

    /** Returns the time on the wire, where 0 stands for no limit; VMs of earlier versions leave it out. */
    private static long encodeAwaited(long ms) {
        return ms >= PoolMessage.ForwardJob.UNLIMITED / 2 ? 0 : Math.max(1, ms);
    }

    private static long decodeAwaited(long ms) {
        return ms <= 0 ? PoolMessage.ForwardJob.UNLIMITED : Math.min(ms, PoolMessage.ForwardJob.UNLIMITED);
    }

    private static PoolJobProto encode(PoolJob job) {
        return PoolJobProto.newBuilder()
                .setId(job.id())
                .setQueue(job.queue())
                .setService(job.service())
                .setPayload(job.payload())
                .setTasks(job.tasks())
                .setMilliCores(job.milliCores())
                .setMemoryMb(job.memoryMb())
                .setDeclaredMs(job.estimateMs())
                .setPriority(job.priority())
                .setMaxFailures(job.maxFailures())
                .setStretch(job.stretch())
                .setTargetLatencyMs(job.targetLatencyMs())
                .setPreferredRack(job.preferredRack())
                .setRequiredLabel(job.requiredLabel())
                .build();
    }

    private static PoolJob decode(PoolJobProto job) {
        return new PoolJob(
                job.getId(),
                job.getQueue(),
                job.getService(),
                job.getPayload(),
                job.getTasks(),
                job.getMilliCores(),
                job.getMemoryMb(),
                job.getDeclaredMs(),
                job.getPriority(),
                job.getMaxFailures(),
                job.getStretch(),
                job.getTargetLatencyMs(),
                job.getPreferredRack(),
                job.getRequiredLabel());
    }

    static ToEntryProto encode(PoolMessage.ToEntry message) {
        ToEntryProto.Builder out = ToEntryProto.newBuilder();
        if (message instanceof PoolMessage.TaskDone d) {
            out.setTaskDone(TaskDoneProto.newBuilder().setJob(d.job()).setTask(d.task()));
        } else if (message instanceof PoolMessage.JobFinished f) {
            out.setFinished(encode(f));
        } else if (message instanceof PoolMessage.Heartbeat h) {
            PoolHeartbeatProto.Builder beat = PoolHeartbeatProto.newBuilder()
                    .setToken(h.token())
                    .setSentAtMs(h.sentAtMs())
                    .putAllWaiting(h.waitingJobs())
                    .setListOutdated(h.listOutdated());
            h.successors().forEach(p -> beat.addPeers(encode(p)));
            out.setHeartbeat(beat);
        } else if (message instanceof PoolMessage.NotOwner n) {
            out.setNotOwner(n.token());
        } else if (message instanceof PoolMessage.JobNotAdmitted n) {
            out.setNotAdmitted(n.job());
        }
        return out.build();
    }

    /**
     * Returns the heartbeat that tells what two consecutive ones tell: a list of VMs is sent only after a change, so the
     * earlier one's remains valid if the later one has none.
     */
    static ToEntryProto mergeHeartbeats(ToEntryProto earlier, ToEntryProto later) {
        if (later.getHeartbeat().getPeersCount() > 0) {
            return later;
        }
        return ToEntryProto.newBuilder()
                .setHeartbeat(later.getHeartbeat().toBuilder()
                        .addAllPeers(earlier.getHeartbeat().getPeersList()))
                .build();
    }

    private static FinishedProto encode(PoolMessage.JobFinished f) {
        FinishedProto.Builder out = FinishedProto.newBuilder().setJob(f.job());
        if (f.outcome() instanceof JobOutcome.Completed) {
            out.setOutcome(FinishedProto.Outcome.COMPLETED);
        } else if (f.outcome() instanceof JobOutcome.Failed o) {
            out.setOutcome(FinishedProto.Outcome.FAILED).setReason(o.reason());
        } else if (f.outcome() instanceof JobOutcome.Refused o) {
            out.setOutcome(FinishedProto.Outcome.REFUSED).setReason(o.reason()).setRetryAfterMs(o.retryAfterMs());
        } else if (f.outcome() instanceof JobOutcome.Unknown o) {
            out.setOutcome(FinishedProto.Outcome.UNKNOWN).setReason(o.reason());
        }
        return out.build();
    }

    static Optional<PoolMessage.ToEntry> decode(ToEntryProto message) {
        return switch (message.getMessageCase()) {
            case TASK_DONE ->
                Optional.of(new PoolMessage.TaskDone(
                        message.getTaskDone().getJob(), message.getTaskDone().getTask()));
            case FINISHED -> Optional.of(decode(message.getFinished()));
            case HEARTBEAT ->
                Optional.of(new PoolMessage.Heartbeat(
                        message.getHeartbeat().getToken(),
                        message.getHeartbeat().getSentAtMs(),
                        message.getHeartbeat().getPeersList().stream()
                                .map(PoolMessageCodec::decode)
                                .toList(),
                        message.getHeartbeat().getWaitingMap(),
                        message.getHeartbeat().getListOutdated()));
            case NOT_OWNER -> Optional.of(new PoolMessage.NotOwner(message.getNotOwner()));
            case NOT_ADMITTED -> Optional.of(new PoolMessage.JobNotAdmitted(message.getNotAdmitted()));
            default -> Optional.empty();
        };
    }

    private static PoolMessage.JobFinished decode(FinishedProto f) {
        JobOutcome outcome =
                switch (f.getOutcome()) {
                    case COMPLETED -> new JobOutcome.Completed();
                    case FAILED -> new JobOutcome.Failed(f.getReason());
                    case REFUSED -> new JobOutcome.Refused(f.getReason(), f.getRetryAfterMs());
                    default -> new JobOutcome.Unknown(f.getReason());
                };
        return new PoolMessage.JobFinished(f.getJob(), outcome);
    }
}
