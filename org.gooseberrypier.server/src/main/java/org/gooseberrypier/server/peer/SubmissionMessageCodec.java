package org.gooseberrypier.server.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.gooseberrypier.effect.JobStatus;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskResult;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.peer.KeyRecord;
import org.gooseberrypier.peer.SubmissionMessage;
import org.gooseberrypier.peer.SubmissionMessage.FinishedHeld;
import org.gooseberrypier.peer.SubmissionMessage.FinishedRecord;
import org.gooseberrypier.peer.SubmissionMessage.Forward;
import org.gooseberrypier.peer.SubmissionMessage.ForwardAnswer;
import org.gooseberrypier.peer.SubmissionMessage.PutRecord;
import org.gooseberrypier.peer.SubmissionMessage.RecordHeld;
import org.gooseberrypier.peer.SubmissionMessage.StatusReply;
import org.gooseberrypier.peer.SubmissionMessage.StatusRequest;
import org.gooseberrypier.protocol.AnswerProto;
import org.gooseberrypier.protocol.FinishedHeldProto;
import org.gooseberrypier.protocol.FinishedRecordProto;
import org.gooseberrypier.protocol.ForwardAnswerProto;
import org.gooseberrypier.protocol.ForwardProto;
import org.gooseberrypier.protocol.KeyRecordProto;
import org.gooseberrypier.protocol.PutRecordProto;
import org.gooseberrypier.protocol.RecordHeldProto;
import org.gooseberrypier.protocol.ResultProto;
import org.gooseberrypier.protocol.StatusReplyProto;
import org.gooseberrypier.protocol.StatusRequestProto;
import org.gooseberrypier.protocol.SubmissionMessageProto;
import org.gooseberrypier.protocol.SubmissionProto;
import org.gooseberrypier.protocol.TaskProto;

/** Encodes and decodes submission messages as Protocol Buffers. */
final class SubmissionMessageCodec {

    private SubmissionMessageCodec() {}

    static SubmissionMessageProto toProto(SubmissionMessage message) {
        SubmissionMessageProto.Builder out = SubmissionMessageProto.newBuilder();
        if (message instanceof Forward f) {
            out.setForward(forward(f));
        } else if (message instanceof ForwardAnswer a) {
            out.setForwardAnswer(ForwardAnswerProto.newBuilder()
                    .setOrigin(MemberCodec.toProto(a.origin()))
                    .setRequest(a.request())
                    .setAnswer(answer(a.answer())));
        } else if (message instanceof StatusRequest r) {
            out.setStatusRequest(statusRequest(r));
        } else if (message instanceof StatusReply r) {
            out.setStatusReply(statusReply(r));
        } else if (message instanceof PutRecord p) {
            out.setPutRecord(PutRecordProto.newBuilder()
                    .setView(p.view())
                    .setShard(p.shard())
                    .setRecord(record(p.record())));
        } else if (message instanceof RecordHeld h) {
            out.setRecordHeld(RecordHeldProto.newBuilder()
                    .setView(h.view())
                    .setShard(h.shard())
                    .setJob(h.job().value())
                    .setEnded(h.ended()));
        } else if (message instanceof FinishedRecord f) {
            out.setFinishedRecord(FinishedRecordProto.newBuilder()
                    .setShard(f.shard())
                    .setRecord(record(f.record()))
                    .setAcknowledge(f.acknowledge()));
        } else if (message instanceof FinishedHeld h) {
            out.setFinishedHeld(FinishedHeldProto.newBuilder().setJob(h.job().value()));
        } else {
            throw new IllegalArgumentException("submission message type cannot be encoded: " + message.getClass());
        }
        return out.build();
    }

    static SubmissionMessage fromProto(SubmissionMessageProto proto) {
        return switch (proto.getKindCase()) {
            case FORWARD -> forward(proto.getForward());
            case FORWARD_ANSWER ->
                new ForwardAnswer(
                        MemberCodec.fromProto(proto.getForwardAnswer().getOrigin()),
                        proto.getForwardAnswer().getRequest(),
                        answer(proto.getForwardAnswer().getAnswer()));
            case STATUS_REQUEST -> statusRequest(proto.getStatusRequest());
            case STATUS_REPLY -> statusReply(proto.getStatusReply());
            case PUT_RECORD ->
                new PutRecord(
                        proto.getPutRecord().getView(),
                        MemberCodec.checkShard(proto.getPutRecord().getShard()),
                        record(proto.getPutRecord().getRecord()));
            case RECORD_HELD ->
                new RecordHeld(
                        proto.getRecordHeld().getView(),
                        MemberCodec.checkShard(proto.getRecordHeld().getShard()),
                        new JobId(proto.getRecordHeld().getJob()),
                        proto.getRecordHeld().getEnded());
            case FINISHED_RECORD ->
                new FinishedRecord(
                        MemberCodec.checkShard(proto.getFinishedRecord().getShard()),
                        record(proto.getFinishedRecord().getRecord()),
                        proto.getFinishedRecord().getAcknowledge());
            case FINISHED_HELD ->
                new FinishedHeld(new JobId(proto.getFinishedHeld().getJob()));
            case KIND_NOT_SET -> throw new IllegalArgumentException("submission message without a known kind");
        };
    }

    private static ForwardProto forward(Forward f) {
        return ForwardProto.newBuilder()
                .setOrigin(MemberCodec.toProto(f.origin()))
                .setRequest(f.request())
                .setHops(f.hops())
                .setSubmission(submission(f.submission()))
                .build();
    }

    private static Forward forward(ForwardProto p) {
        Submission s = submission(p.getSubmission());
        if (s.key().isEmpty()) {
            throw new IllegalArgumentException("forwarded submission without an idempotency key");
        }
        return new Forward(MemberCodec.fromProto(p.getOrigin()), p.getRequest(), p.getHops(), s);
    }

    private static StatusRequestProto statusRequest(StatusRequest r) {
        StatusRequestProto.Builder out = StatusRequestProto.newBuilder()
                .setOrigin(MemberCodec.toProto(r.origin()))
                .setRequest(r.request())
                .setHops(r.hops())
                .setTeam(r.team().name())
                .setKey(r.key().value())
                .setCancel(r.cancel());
        r.key().submittedAtMs().ifPresent(out::setSubmittedAtMs);
        r.key().homeZone().ifPresent(z -> out.setHomeZone(z.name()));
        return out.build();
    }

    private static StatusRequest statusRequest(StatusRequestProto p) {
        IdempotencyKey key = new IdempotencyKey(
                p.getKey(),
                p.hasSubmittedAtMs() ? Optional.of(p.getSubmittedAtMs()) : Optional.empty(),
                p.getHomeZone().isEmpty() ? Optional.empty() : Optional.of(new ZoneId(p.getHomeZone())));
        return new StatusRequest(
                MemberCodec.fromProto(p.getOrigin()),
                p.getRequest(),
                p.getHops(),
                new TeamId(p.getTeam()),
                key,
                p.getCancel());
    }

    private static StatusReplyProto statusReply(StatusReply r) {
        StatusReplyProto.Builder out = StatusReplyProto.newBuilder()
                .setOrigin(MemberCodec.toProto(r.origin()))
                .setRequest(r.request())
                .setState(r.status().state().name())
                .setTasks(r.status().tasks())
                .setEnded(r.status().ended());
        r.status().answer().ifPresent(a -> out.setAnswer(answer(a)));
        return out.build();
    }

    private static StatusReply statusReply(StatusReplyProto p) {
        JobStatus status = new JobStatus(
                JobStatus.State.valueOf(p.getState()),
                p.getTasks(),
                p.getEnded(),
                p.hasAnswer() ? Optional.of(answer(p.getAnswer())) : Optional.empty());
        return new StatusReply(MemberCodec.fromProto(p.getOrigin()), p.getRequest(), status);
    }

    static KeyRecordProto record(KeyRecord r) {
        KeyRecordProto.Builder out = KeyRecordProto.newBuilder()
                .setJob(r.job().value())
                .setDigest(bytes(r.digest()))
                .setSubmittedAtMs(r.submittedAtMs())
                .setTimed(r.hasSubmissionTime())
                .setDeadlineAtMs(r.deadlineAtMs())
                .setTasks(r.tasks())
                .setOwner(MemberCodec.toProto(r.owner()))
                .setEnded(r.ended());
        r.answer().ifPresent(a -> out.setAnswer(answer(a)));
        return out.build();
    }

    static KeyRecord record(KeyRecordProto p) {
        return new KeyRecord(
                new JobId(p.getJob()),
                payload(p.getDigest()),
                p.getSubmittedAtMs(),
                p.getTimed(),
                p.getDeadlineAtMs(),
                p.getTasks(),
                MemberCodec.fromProto(p.getOwner()),
                p.getEnded(),
                p.hasAnswer() ? Optional.of(answer(p.getAnswer())) : Optional.empty());
    }

    private static SubmissionProto submission(Submission s) {
        SubmissionProto.Builder out = SubmissionProto.newBuilder()
                .setTeam(s.team().name())
                .setWork(s.work().name())
                .setDeadlineMs(s.deadlineMs())
                .setRepeatable(s.repeatable());
        s.key().ifPresent(k -> {
            out.setKey(k.value());
            k.submittedAtMs().ifPresent(out::setSubmittedAtMs);
            k.homeZone().ifPresent(z -> out.setHomeZone(z.name()));
        });
        for (TaskSpec t : s.tasks()) {
            out.addTasks(task(t));
        }
        return out.build();
    }

    private static Submission submission(SubmissionProto p) {
        List<TaskSpec> tasks = new ArrayList<>(p.getTasksCount());
        for (TaskProto t : p.getTasksList()) {
            tasks.add(task(t));
        }
        return new Submission(
                new TeamId(p.getTeam()),
                new WorkId(p.getWork()),
                p.getDeadlineMs(),
                p.getRepeatable(),
                p.getKey().isEmpty() ? Optional.empty() : Optional.of(key(p)),
                tasks);
    }

    private static IdempotencyKey key(SubmissionProto p) {
        return new IdempotencyKey(
                p.getKey(),
                p.hasSubmittedAtMs() ? Optional.of(p.getSubmittedAtMs()) : Optional.empty(),
                p.getHomeZone().isEmpty() ? Optional.empty() : Optional.of(new ZoneId(p.getHomeZone())));
    }

    private static TaskProto task(TaskSpec t) {
        return TaskProto.newBuilder()
                .setId(t.id())
                .setBody(bytes(t.body()))
                .setDeclaredMs(t.declaredMs())
                .setMilliCores(t.resources().milliCores())
                .setMemoryMb(t.resources().memoryMb())
                .setAccelerators(t.resources().accelerators())
                .build();
    }

    private static TaskSpec task(TaskProto t) {
        return new TaskSpec(
                t.getId(),
                payload(t.getBody()),
                t.getDeclaredMs(),
                new Resources(t.getMilliCores(), t.getMemoryMb(), t.getAccelerators()));
    }

    private static AnswerProto answer(Answer answer) {
        AnswerProto.Builder out = AnswerProto.newBuilder();
        if (answer instanceof Answer.Complete c) {
            out.setOutcome(AnswerProto.Outcome.COMPLETE);
            for (TaskResult r : c.results()) {
                out.addResults(ResultProto.newBuilder().setId(r.id()).setBody(bytes(r.body())));
            }
        } else if (answer instanceof Answer.Failed f) {
            out.setOutcome(AnswerProto.Outcome.FAILED)
                    .setReason(f.reason().name())
                    .setDetail(f.detail());
        } else if (answer instanceof Answer.NotRun n) {
            out.setOutcome(AnswerProto.Outcome.NOT_RUN)
                    .setReason(n.reason().name())
                    .setDetail(n.detail())
                    .setRetryAfterMs(n.retryAfterMs());
        } else if (answer instanceof Answer.Unknown u) {
            out.setOutcome(AnswerProto.Outcome.UNKNOWN)
                    .setReason(u.reason().name())
                    .setDetail(u.detail());
        }
        return out.build();
    }

    private static Answer answer(AnswerProto p) {
        return switch (p.getOutcome()) {
            case COMPLETE -> complete(p);
            case FAILED -> new Answer.Failed(Reason.valueOf(p.getReason()), p.getDetail());
            case NOT_RUN -> new Answer.NotRun(Reason.valueOf(p.getReason()), p.getDetail(), p.getRetryAfterMs());
            case UNKNOWN -> new Answer.Unknown(Reason.valueOf(p.getReason()), p.getDetail());
            case UNSPECIFIED, UNRECOGNIZED -> throw new IllegalArgumentException("answer without a known outcome");
        };
    }

    private static Answer complete(AnswerProto p) {
        List<TaskResult> results = new ArrayList<>(p.getResultsCount());
        for (ResultProto r : p.getResultsList()) {
            results.add(new TaskResult(r.getId(), payload(r.getBody())));
        }
        return new Answer.Complete(results);
    }

    private static ByteString bytes(Payload payload) {
        return UnsafeByteOperations.unsafeWrap(payload.bytes());
    }

    private static Payload payload(ByteString bytes) {
        return Payload.wrap(bytes.toByteArray());
    }
}
