package org.gooseberrypier.internal.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.effect.JobStatus;
import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.Job;
import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.internal.board.ShardState;
import org.gooseberrypier.internal.board.ShardState.Phase;
import org.gooseberrypier.internal.board.Waiter;
import org.gooseberrypier.internal.board.ZoneView;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.peer.KeyRecord;
import org.gooseberrypier.peer.SubmissionMessage;
import org.gooseberrypier.peer.SubmissionMessage.FinishedHeld;
import org.gooseberrypier.peer.SubmissionMessage.FinishedRecord;
import org.gooseberrypier.peer.SubmissionMessage.PutRecord;
import org.gooseberrypier.peer.SubmissionMessage.RecordHeld;

/**
 * Deduplicates and starts the keyed jobs of the shards whose primary is this VM, and stores the key records of the
 * shards whose backup is this VM.
 *
 * <p>A job starts only after all holders of its shard have stored its record.
 */
final class KeyedJobService implements ShardRecovery.RoleListener {

    private static final long RETRY_INTERVAL_MS = 200;
    private static final long HOLD_TIMEOUT_MS = 3_000;
    private static final long DEADLINE_GRACE_MS = 1_000;
    private static final int MAX_HELD_SUBMISSIONS = 10_000;
    private static final int MAX_HANDOVER_ATTEMPTS = 50;

    private final Blackboard board;
    private final HomeZones homeZones;
    private final RecordStore store;
    private final SafetyGuards guards;
    private final Admission admission;
    private final AnswerSink answers;
    private final Map<JobId, PendingRecord> pendingRecords = new HashMap<>();
    private final Map<JobId, Handover> handovers = new HashMap<>();
    private final Map<JobId, KeyRecord> runningRecords = new HashMap<>();
    private final Map<JobId, RemoteWaiters> remoteWaiters = new HashMap<>();
    private final Map<Waiter, HeldSubmission> heldSubmissions = new LinkedHashMap<>();
    private JobRunner jobs;
    private int nextShardToExpire;

    KeyedJobService(
            Blackboard board,
            HomeZones homeZones,
            RecordStore store,
            SafetyGuards guards,
            Admission admission,
            AnswerSink answers) {
        this.board = board;
        this.homeZones = homeZones;
        this.store = store;
        this.guards = guards;
        this.admission = admission;
        this.answers = answers;
    }

    void setJobs(JobRunner value) {
        jobs = value;
    }

    /** Runs a submission or joins it to the job of its key; this VM must be the primary of the shard. */
    void submit(Submission submission, Waiter waiter, Context context) {
        int shard = KeyedSubmission.shard(submission);
        Phase phase = board.shards().get(shard).phase();
        KeyRecord known = store.get(shard, KeyedSubmission.jobId(submission));
        boolean mayAccept =
                phase == Phase.ACTIVE && (known != null || !board.lifecycle().isStopping());
        if (mayAccept) {
            submitToActiveShard(shard, submission, waiter, context);
        } else if (phase != Phase.PASSIVE) {
            hold(shard, submission, waiter, context);
        }
    }

    private void hold(int shard, Submission submission, Waiter waiter, Context context) {
        if (heldSubmissions.containsKey(waiter)) {
            return;
        }
        if (heldSubmissions.size() >= MAX_HELD_SUBMISSIONS) {
            answers.deliver(waiter, unknown(Reason.OVERLOADED, "too many submissions wait for a key shard"), context);
            return;
        }
        long timeoutAtMs = context.nowMs() + Math.min(HOLD_TIMEOUT_MS, submission.deadlineMs());
        heldSubmissions.put(waiter, new HeldSubmission(shard, submission, waiter, timeoutAtMs));
    }

    private void submitToActiveShard(int shard, Submission submission, Waiter waiter, Context context) {
        KeyRecord record = store.get(shard, KeyedSubmission.jobId(submission));
        if (record != null) {
            join(shard, record, submission, waiter, context);
            return;
        }
        Optional<Answer> refusal = checkKey(shard, submission, context.nowMs());
        if (refusal.isPresent()) {
            answers.deliver(waiter, refusal.get(), context);
        } else {
            createRecord(shard, submission, waiter, context);
        }
    }

    private void join(int shard, KeyRecord record, Submission submission, Waiter waiter, Context context) {
        Job job = jobs.get(record.job());
        boolean same =
                record.digest().equals(KeyedSubmission.digest(submission)) && hasSameSubmissionTime(record, submission);
        if (!same) {
            answers.deliver(waiter, unknown(Reason.KEY_REUSED, "the key was used with another body"), context);
        } else if (job != null) {
            job.waiters().add(waiter);
        } else if (record.ended()) {
            answers.deliver(waiter, retainedAnswer(record), context);
        } else if (mayEndOnOwner(record, context.nowMs())) {
            long timeoutAtMs =
                    Math.min(record.deadlineAtMs() + DEADLINE_GRACE_MS, context.nowMs() + submission.deadlineMs());
            remoteWaiters
                    .computeIfAbsent(record.job(), j -> new RemoteWaiters(shard, timeoutAtMs))
                    .waiters
                    .add(waiter);
        } else {
            answers.deliver(waiter, unknown(Reason.ANSWER_LOST, "the VM that ran the job is gone"), context);
        }
    }

    private static boolean hasSameSubmissionTime(KeyRecord record, Submission submission) {
        Optional<Long> time = KeyedSubmission.submittedAtMs(submission.key().orElseThrow());
        return record.hasSubmissionTime() == time.isPresent()
                && (time.isEmpty() || time.get() == record.submittedAtMs());
    }

    private boolean mayEndOnOwner(KeyRecord record, long nowMs) {
        return nowMs < record.deadlineAtMs() + DEADLINE_GRACE_MS
                && board.membership().isLive(record.owner(), nowMs);
    }

    private static Answer retainedAnswer(KeyRecord record) {
        return record.answer()
                .orElseGet(() -> unknown(Reason.RECORDS_LOST, "the job has ended and its answer is no longer kept"));
    }

    /**
     * Checks a key without a record on this VM.
     *
     * @return the refusal, in particular if the job may already have been started elsewhere; empty if it may start
     */
    private Optional<Answer> checkKey(int shard, Submission submission, long nowMs) {
        ShardState s = board.shards().get(shard);
        long retention = board.tickets().inForce().limits().keyRetentionMs();
        Optional<Long> time = KeyedSubmission.submittedAtMs(submission.key().orElseThrow());
        if (store.isFull()) {
            return Optional.of(unknown(Reason.OVERLOADED, "no more keys can be remembered"));
        }
        IdempotencyKey key = submission.key().orElseThrow();
        if (homeZones.mayStartInFormerZone(KeyedSubmission.jobId(submission), key, nowMs)) {
            return Optional.of(unknown(Reason.UNAVAILABLE, "a former home zone of the key may still start it"));
        }
        if (time.isEmpty()) {
            return nowMs < s.lostUntilMs()
                    ? Optional.of(unknown(Reason.RECORDS_LOST, "records were lost and the key carries no time"))
                    : Optional.empty();
        }
        if (time.get() > nowMs + board.settings().maxClockSkewMs()) {
            return Optional.of(unknown(Reason.MALFORMED, "the submission time lies in the future"));
        }
        if (time.get() < Math.max(nowMs - retention, s.expiredBeforeMs())) {
            return Optional.of(unknown(Reason.KEY_EXPIRED, "the key is older than the retention period"));
        }
        return time.get() < s.lostBeforeMs()
                ? Optional.of(unknown(Reason.RECORDS_LOST, "records of this time were lost"))
                : Optional.empty();
    }

    private void createRecord(int shard, Submission submission, Waiter waiter, Context context) {
        JobId id = KeyedSubmission.jobId(submission);
        Optional<Long> time = KeyedSubmission.submittedAtMs(submission.key().orElseThrow());
        Job job = new Job(id, submission, context.nowMs() + submission.deadlineMs());
        job.waiters().add(waiter);
        KeyRecord record = new KeyRecord(
                id,
                KeyedSubmission.digest(submission),
                time.orElse(context.nowMs()),
                time.isPresent(),
                job.deadlineAtMs(),
                submission.tasks().size(),
                board.settings().self(),
                false,
                Optional.empty());
        Optional<Answer.NotRun> refusal = admission.check(submission, context.nowMs());
        KeyRecord first = refusal.isPresent() ? record.withAnswer(refusal.get()) : record;
        store.put(shard, first);
        jobs.add(job, context);
        PendingRecord pending = new PendingRecord(shard, first, job);
        pendingRecords.put(id, pending);
        replicate(pending, context);
    }

    private void replicate(PendingRecord pending, Context context) {
        pending.retryAtMs = context.nowMs() + RETRY_INTERVAL_MS;
        ZoneView view = board.views().current();
        Optional<Member> backup = view.holders(pending.shard).backup();
        if (backup.isPresent()) {
            board.counters().increment(Counter.RECORDS_SENT);
            send(backup.get().vm(), new PutRecord(view.number(), pending.shard, pending.record), context);
        }
        if (backup.isEmpty() || !guards.backupRecord()) {
            completeReplication(pending, context);
        }
    }

    /** Starts a job, or answers its refusal, after all holders have stored its record. */
    private void completeReplication(PendingRecord pending, Context context) {
        ShardState shard = board.shards().get(pending.shard);
        long view = board.views().current().number();
        if (shard.phase() != Phase.ACTIVE || guards.seal() && shard.sealedBelow() > view) {
            throw new InvariantViolationException(
                    "job admitted by an inactive or sealed shard in view " + view + ": " + pending.record);
        }
        KeyRecord stored = store.get(pending.shard, pending.record.job());
        boolean isCurrent = stored != null
                && stored.owner().equals(pending.record.owner())
                && stored.ended() == pending.record.ended();
        if (!isCurrent) {
            throw new InvariantViolationException("job admitted without a matching stored record: " + pending.record);
        }
        pendingRecords.remove(pending.record.job());
        if (pending.record.ended()) {
            jobs.removeUnadmitted(pending.job);
            board.counters().increment(Counter.JOBS_NOT_RUN);
            jobs.answerWaiters(pending.job, retainedAnswer(pending.record), context);
        } else {
            runningRecords.put(pending.record.job(), pending.record);
            jobs.admit(pending.job, context);
        }
    }

    /** Refuses a job that is not yet admitted by replacing its record at all holders with the refusal. */
    private void refuseUnadmitted(Job job, Reason reason, String detail, Context context) {
        PendingRecord pending = pendingRecords.get(job.id());
        if (pending == null || pending.record.ended()) {
            return;
        }
        pending.record = pending.record.withAnswer(new Answer.NotRun(reason, detail, JobRunner.RETRY_AFTER_MS));
        store.put(pending.shard, pending.record);
        if (board.shards().get(pending.shard).phase() == Phase.ACTIVE) {
            replicate(pending, context);
        }
    }

    /** Refuses a job whose deadline passed before the backup acknowledged its record. */
    void expiredUnadmitted(Job job, Context context) {
        refuseUnadmitted(job, Reason.DEADLINE, "the deadline passed before the job could start", context);
        context.schedule(context.nowMs() + DEADLINE_GRACE_MS, c -> {
            if (pendingRecords.containsKey(job.id())) {
                jobs.answerWaiters(job, unknown(Reason.UNAVAILABLE, "the backup of the key did not answer"), c);
            }
        });
    }

    /** Stores the final answer of a job of this VM and sends it to the other holders of its key. */
    void ended(Job job, Answer answer, Context context) {
        KeyRecord record = runningRecords.remove(job.id());
        if (record == null) {
            return;
        }
        KeyRecord ended = record.withAnswer(answer);
        int shard = ShardHolders.shardOf(job.id());
        if (store.get(shard, job.id()) != null) {
            store.put(shard, ended);
        }
        if (board.shards().get(shard).phase() == Phase.ACTIVE) {
            sendAnswerToBackup(shard, ended, context);
        } else {
            Handover handover = new Handover(shard, ended);
            handovers.put(job.id(), handover);
            sendHandover(handover, context);
        }
    }

    private void sendAnswerToBackup(int shard, KeyRecord ended, Context context) {
        Optional<Member> backup = board.views().current().holders(shard).backup();
        backup.ifPresent(b -> send(b.vm(), new FinishedRecord(shard, ended, false), context));
    }

    private void sendHandover(Handover handover, Context context) {
        handover.retryAtMs = context.nowMs() + RETRY_INTERVAL_MS;
        handover.attempts++;
        ZoneView view = board.views().current();
        if (!view.isPresent()) {
            return;
        }
        Member primary = view.holders(handover.shard).primary();
        if (primary.equals(board.settings().self())) {
            handleFinishedRecord(new FinishedRecord(handover.shard, handover.record, false), primary, context);
            if (board.shards().get(handover.shard).phase() == Phase.ACTIVE) {
                handovers.remove(handover.record.job());
            }
        } else {
            send(primary.vm(), new FinishedRecord(handover.shard, handover.record, true), context);
        }
    }

    void receive(Member from, SubmissionMessage message, Context context) {
        if (message instanceof PutRecord p) {
            handlePutRecord(from, p, context);
        } else if (message instanceof RecordHeld h) {
            handleRecordHeld(from, h, context);
        } else if (message instanceof FinishedRecord f) {
            handleFinishedRecord(f, from, context);
        } else if (message instanceof FinishedHeld h) {
            handovers.remove(h.job());
        }
    }

    private void handlePutRecord(Member from, PutRecord p, Context context) {
        ZoneView view = board.views().current();
        ShardState shard = board.shards().get(p.shard());
        boolean allowed = p.view() == view.number()
                && view.holders(p.shard()).primary().equals(from)
                && shard.completeView() == p.view()
                && shard.sealedBelow() <= p.view();
        boolean hasRoom = store.get(p.shard(), p.record().job()) != null || !store.isFull();
        if (!allowed || !hasRoom) {
            return;
        }
        store.put(p.shard(), p.record());
        boolean ended = store.get(p.shard(), p.record().job()).ended();
        send(from.vm(), new RecordHeld(p.view(), p.shard(), p.record().job(), ended), context);
    }

    private void handleRecordHeld(Member from, RecordHeld h, Context context) {
        ZoneView view = board.views().current();
        ShardState shard = board.shards().get(h.shard());
        PendingRecord pending = pendingRecords.get(h.job());
        boolean expected = pending != null
                && h.view() == view.number()
                && pending.record.ended() == h.ended()
                && shard.phase() == Phase.ACTIVE
                && view.holders(h.shard()).backup().filter(from::equals).isPresent();
        if (expected) {
            completeReplication(pending, context);
        }
    }

    private void handleFinishedRecord(FinishedRecord f, Member from, Context context) {
        JobId id = f.record().job();
        Phase phase = board.shards().get(f.shard()).phase();
        KeyRecord before = store.get(f.shard(), id);
        boolean known = before != null && before.owner().equals(f.record().owner());
        if (known && !before.ended()) {
            store.put(f.shard(), f.record());
            answerRemoteWaiters(id, retainedAnswer(f.record()), context);
            if (phase == Phase.ACTIVE) {
                sendAnswerToBackup(f.shard(), f.record(), context);
            }
        }
        if (f.acknowledge() && phase == Phase.ACTIVE) {
            send(from.vm(), new FinishedHeld(id), context);
        }
    }

    private void answerRemoteWaiters(JobId id, Answer answer, Context context) {
        RemoteWaiters remote = remoteWaiters.remove(id);
        if (remote != null) {
            remote.waiters.forEach(w -> answers.deliver(w, answer, context));
        }
    }

    @Override
    public void activated(int shard, Context context) {
        for (PendingRecord p : new ArrayList<>(pendingRecords.values())) {
            if (p.shard == shard) {
                resumeReplication(p, context);
            }
        }
        List<HeldSubmission> ready =
                heldSubmissions.values().stream().filter(h -> h.shard == shard).toList();
        ready.forEach(h -> heldSubmissions.remove(h.waiter));
        ready.forEach(h -> submit(h.submission, h.waiter, context));
    }

    /**
     * Resumes the replication of a record whose job was not admitted when the view changed.
     *
     * <p>A member of an abandoned view may have started the job. Unless the record on this VM is unchanged and its key
     * is still acceptable, the submission is therefore handled again from the start.
     */
    private void resumeReplication(PendingRecord pending, Context context) {
        JobId id = pending.record.job();
        boolean isCurrent = pending.record.equals(store.get(pending.shard, id));
        if (isCurrent
                && checkKey(pending.shard, pending.job.submission(), context.nowMs())
                        .isEmpty()) {
            replicate(pending, context);
            return;
        }
        if (isCurrent) {
            store.remove(pending.shard, id);
        }
        pendingRecords.remove(id);
        jobs.removeUnadmitted(pending.job);
        pending.job.waiters().forEach(w -> submitToActiveShard(pending.shard, pending.job.submission(), w, context));
    }

    /** Holds the submissions of jobs that are not admitted, which another holder may have started in the meantime. */
    @Override
    public void replacing(int shard, Context context) {
        for (PendingRecord p : dropPendingRecords(shard)) {
            Submission again = p.job.submission().withDeadline(Math.max(1, p.job.deadlineAtMs() - context.nowMs()));
            p.job.waiters().forEach(w -> hold(shard, again, w, context));
        }
    }

    private List<PendingRecord> dropPendingRecords(int shard) {
        List<PendingRecord> dropped =
                pendingRecords.values().stream().filter(p -> p.shard == shard).toList();
        for (PendingRecord p : dropped) {
            pendingRecords.remove(p.record.job());
            jobs.removeUnadmitted(p.job);
            if (p.record.equals(store.get(shard, p.record.job()))) {
                store.remove(shard, p.record.job());
            }
        }
        return dropped;
    }

    @Override
    public void deactivated(int shard, Context context) {
        dropPendingRecords(shard);
        heldSubmissions.values().removeIf(h -> h.shard == shard);
        remoteWaiters.values().removeIf(j -> j.shard == shard);
    }

    /**
     * Returns the status of the job of a key.
     *
     * @param id the job
     * @return the status, empty if the job does not run on this VM and this VM is not the active primary of its shard
     */
    Optional<JobStatus> status(JobId id) {
        int shard = ShardHolders.shardOf(id);
        Job job = jobs.get(id);
        if (job != null) {
            return Optional.of(runningStatus(job));
        }
        KeyRecord record = store.get(shard, id);
        if (board.shards().get(shard).phase() != Phase.ACTIVE) {
            return Optional.empty();
        }
        if (record == null) {
            return Optional.of(new JobStatus(JobStatus.State.NOT_FOUND, 0, 0, Optional.empty()));
        }
        if (record.ended()) {
            return Optional.of(new JobStatus(
                    JobStatus.State.ENDED, record.tasks(), record.tasks(), Optional.of(retainedAnswer(record))));
        }
        return Optional.of(new JobStatus(JobStatus.State.RUNNING, record.tasks(), 0, Optional.empty()));
    }

    private static JobStatus runningStatus(Job job) {
        JobStatus.State state = job.withdrawn().isPresent() ? JobStatus.State.CANCELLING : JobStatus.State.RUNNING;
        return new JobStatus(state, job.submission().tasks().size(), job.endedTasks(), Optional.empty());
    }

    /**
     * Returns the other member that runs the job of a key.
     *
     * @param id the job
     * @return the member, empty if there is none or this VM is not the active primary of the shard
     */
    Optional<Member> remoteOwner(JobId id) {
        int shard = ShardHolders.shardOf(id);
        KeyRecord record = store.get(shard, id);
        boolean elsewhere = board.shards().get(shard).phase() == Phase.ACTIVE
                && jobs.get(id) == null
                && record != null
                && !record.ended()
                && !record.owner().equals(board.settings().self());
        return elsewhere ? Optional.of(record.owner()) : Optional.empty();
    }

    /** Cancels the job of a key if it runs on this VM. */
    void cancel(JobId id, Context context) {
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        if (job.isAdmitted()) {
            jobs.withdraw(job, Reason.CANCELLED, context);
        } else {
            refuseUnadmitted(job, Reason.CANCELLED, "cancelled before the start", context);
        }
    }

    /** Resends unacknowledged records and answers, times out waiters, and drops the expired records of one shard. */
    void tick(Context context) {
        for (PendingRecord p : new ArrayList<>(pendingRecords.values())) {
            if (context.nowMs() >= p.retryAtMs && board.shards().get(p.shard).phase() == Phase.ACTIVE) {
                replicate(p, context);
            }
        }
        for (Handover h : new ArrayList<>(handovers.values())) {
            if (h.attempts >= MAX_HANDOVER_ATTEMPTS) {
                handovers.remove(h.record.job());
            } else if (context.nowMs() >= h.retryAtMs) {
                sendHandover(h, context);
            }
        }
        board.submissions().setOpenHandovers(handovers.size());
        expireHeldSubmissions(context);
        expireRemoteWaiters(context);
        store.expire(nextShardToExpire, context.nowMs());
        nextShardToExpire = (nextShardToExpire + 1) % ShardHolders.SHARDS;
    }

    private void expireHeldSubmissions(Context context) {
        List<HeldSubmission> expired = heldSubmissions.values().stream()
                .filter(h -> context.nowMs() >= h.timeoutAtMs)
                .toList();
        expired.forEach(h -> heldSubmissions.remove(h.waiter));
        expired.forEach(h ->
                answers.deliver(h.waiter, unknown(Reason.UNAVAILABLE, "the key shard is being recovered"), context));
    }

    private void expireRemoteWaiters(Context context) {
        for (Map.Entry<JobId, RemoteWaiters> e : new ArrayList<>(remoteWaiters.entrySet())) {
            KeyRecord record = store.get(e.getValue().shard, e.getKey());
            boolean expired = record == null
                    || context.nowMs() >= e.getValue().timeoutAtMs
                    || !mayEndOnOwner(record, context.nowMs());
            if (expired) {
                answerRemoteWaiters(
                        e.getKey(), unknown(Reason.ANSWER_LOST, "the job's end is not known here"), context);
            }
        }
    }

    private static Answer unknown(Reason reason, String detail) {
        return new Answer.Unknown(reason, detail);
    }

    private static void send(VmId to, SubmissionMessage message, Context context) {
        context.emit(new Effect.SendPeer(to, message));
    }

    /** A record that the backup has not acknowledged, with its job. */
    private static final class PendingRecord {

        private final int shard;
        private final Job job;
        private KeyRecord record;
        private long retryAtMs;

        PendingRecord(int shard, KeyRecord record, Job job) {
            this.shard = shard;
            this.record = record;
            this.job = job;
        }
    }

    /** A final answer that the new primary of its key has not acknowledged. */
    private static final class Handover {

        private final int shard;
        private final KeyRecord record;
        private long retryAtMs;
        private int attempts;

        Handover(int shard, KeyRecord record) {
            this.shard = shard;
            this.record = record;
        }
    }

    /** The waiters for the end of a job that another member runs. */
    private static final class RemoteWaiters {

        private final int shard;
        private final long timeoutAtMs;
        private final Set<Waiter> waiters = new LinkedHashSet<>();

        RemoteWaiters(int shard, long timeoutAtMs) {
            this.shard = shard;
            this.timeoutAtMs = timeoutAtMs;
        }
    }

    /**
     * A submission that is held until its shard is active.
     *
     * @param shard the shard of its key
     * @param submission the submission
     * @param waiter the waiter for its answer
     * @param timeoutAtMs when it is answered unavailable, in milliseconds since the epoch
     */
    private record HeldSubmission(int shard, Submission submission, Waiter waiter, long timeoutAtMs) {}
}
