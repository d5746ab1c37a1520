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

/** Decides about keys whose shard has its primary here, and keeps the records of those whose backup is here. */
final class KeyedJobService implements ShardRecovery.RoleListener {

    private static final long RETRY_MS = 200;
    private static final long HOLD_MS = 3_000;
    private static final long GRACE_MS = 1_000;
    private static final int MAX_HELD = 10_000;
    private static final int MAX_HANDOVER_TRIES = 50;

    private final Blackboard board;
    private final HomeZones homeZones;
    private final RecordStore store;
    private final SafetyGuards guards;
    private final Admission admission;
    private final AnswerSink answers;
    private final Map<JobId, Put> puts = new HashMap<>();
    private final Map<JobId, Handover> handovers = new HashMap<>();
    private final Map<JobId, KeyRecord> running = new HashMap<>();
    private final Map<JobId, Joined> joined = new HashMap<>();
    private final Map<Waiter, Held> held = new LinkedHashMap<>();
    private JobRunner jobs;
    private int nextExpiry;

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

    /** Runs or joins a submission whose shard has its primary here. */
    void submit(Submission submission, Waiter waiter, Context context) {
        int shard = KeyedSubmission.shard(submission);
        Phase phase = board.shards().get(shard).phase();
        KeyRecord known = store.get(shard, KeyedSubmission.jobId(submission));
        boolean decide =
                phase == Phase.ACTIVE && (known != null || !board.lifecycle().isStopping());
        if (decide) {
            decide(shard, submission, waiter, context);
        } else if (phase != Phase.PASSIVE) {
            hold(shard, submission, waiter, context);
        }
    }

    private void hold(int shard, Submission submission, Waiter waiter, Context context) {
        if (held.containsKey(waiter)) {
            return;
        }
        if (held.size() >= MAX_HELD) {
            answers.deliver(waiter, unknown(Reason.OVERLOADED, "too many submissions wait for a key shard"), context);
            return;
        }
        long untilMs = context.nowMs() + Math.min(HOLD_MS, submission.deadlineMs());
        held.put(waiter, new Held(shard, submission, waiter, untilMs));
    }

    private void decide(int shard, Submission submission, Waiter waiter, Context context) {
        KeyRecord record = store.get(shard, KeyedSubmission.jobId(submission));
        if (record != null) {
            join(shard, record, submission, waiter, context);
            return;
        }
        Optional<Answer> refusal = refuseKey(shard, submission, context.nowMs());
        if (refusal.isPresent()) {
            answers.deliver(waiter, refusal.get(), context);
        } else {
            record(shard, submission, waiter, context);
        }
    }

    private void join(int shard, KeyRecord record, Submission submission, Waiter waiter, Context context) {
        Job job = jobs.get(record.job());
        boolean same = record.digest().equals(KeyedSubmission.digest(submission)) && sameTime(record, submission);
        if (!same) {
            answers.deliver(waiter, unknown(Reason.KEY_REUSED, "the key was used with another body"), context);
        } else if (job != null) {
            job.waiters().add(waiter);
        } else if (record.ended()) {
            answers.deliver(waiter, keptAnswer(record), context);
        } else if (mayEndElsewhere(record, context.nowMs())) {
            long untilMs = Math.min(record.deadlineAtMs() + GRACE_MS, context.nowMs() + submission.deadlineMs());
            joined.computeIfAbsent(record.job(), j -> new Joined(shard, untilMs))
                    .waiters
                    .add(waiter);
        } else {
            answers.deliver(waiter, unknown(Reason.ANSWER_LOST, "the VM that ran the job is gone"), context);
        }
    }

    private static boolean sameTime(KeyRecord record, Submission submission) {
        Optional<Long> time = KeyedSubmission.submittedAtMs(submission.key().orElseThrow());
        return record.hasSubmissionTime() == time.isPresent()
                && (time.isEmpty() || time.get() == record.submittedAtMs());
    }

    private boolean mayEndElsewhere(KeyRecord record, long nowMs) {
        return nowMs < record.deadlineAtMs() + GRACE_MS && board.membership().isLive(record.owner(), nowMs);
    }

    private static Answer keptAnswer(KeyRecord record) {
        return record.answer()
                .orElseGet(() -> unknown(Reason.RECORDS_LOST, "the job has ended and its answer is no longer kept"));
    }

    /** Refuses keys of which nobody can tell whether they started before. */
    private Optional<Answer> refuseKey(int shard, Submission submission, long nowMs) {
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

    private void record(int shard, Submission submission, Waiter waiter, Context context) {
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
        Put put = new Put(shard, first, job);
        puts.put(id, put);
        send(put, context);
    }

    private void send(Put put, Context context) {
        put.retryAtMs = context.nowMs() + RETRY_MS;
        ZoneView view = board.views().current();
        Optional<Member> backup = view.holders(put.shard).backup();
        if (backup.isPresent()) {
            board.counters().increment(Counter.RECORDS_SENT);
            send(backup.get().vm(), new PutRecord(view.number(), put.shard, put.record), context);
        }
        if (backup.isEmpty() || !guards.backupRecord()) {
            complete(put, context);
        }
    }

    /** Starts a job, or answers its refusal, now that both holders have its record. */
    private void complete(Put put, Context context) {
        ShardState shard = board.shards().get(put.shard);
        long view = board.views().current().number();
        if (shard.phase() != Phase.ACTIVE || guards.seal() && shard.sealedBelow() > view) {
            throw new InvariantViolationException("admitted without the records of view " + view + ": " + put.record);
        }
        KeyRecord stored = store.get(put.shard, put.record.job());
        boolean stands =
                stored != null && stored.owner().equals(put.record.owner()) && stored.ended() == put.record.ended();
        if (!stands) {
            throw new InvariantViolationException("admitted without its record: " + put.record);
        }
        puts.remove(put.record.job());
        if (put.record.ended()) {
            jobs.removeUnadmitted(put.job);
            board.counters().increment(Counter.JOBS_NOT_RUN);
            jobs.answerWaiters(put.job, keptAnswer(put.record), context);
        } else {
            running.put(put.record.job(), put.record);
            jobs.admit(put.job, context);
        }
    }

    /** Refuses a job that was not admitted yet: the refusal takes the place of its record at both holders. */
    private void refuseUnadmitted(Job job, Reason reason, String detail, Context context) {
        Put put = puts.get(job.id());
        if (put == null || put.record.ended()) {
            return;
        }
        put.record = put.record.withAnswer(new Answer.NotRun(reason, detail, JobRunner.RETRY_AFTER_MS));
        store.put(put.shard, put.record);
        if (board.shards().get(put.shard).phase() == Phase.ACTIVE) {
            send(put, context);
        }
    }

    /** The deadline of a job passed while its record was on its way. */
    void expiredUnadmitted(Job job, Context context) {
        refuseUnadmitted(job, Reason.DEADLINE, "the deadline passed before the job could start", context);
        context.schedule(context.nowMs() + GRACE_MS, c -> {
            if (puts.containsKey(job.id())) {
                jobs.answerWaiters(job, unknown(Reason.UNAVAILABLE, "the backup of the key did not answer"), c);
            }
        });
    }

    /** Keeps the final answer of a job of this VM and hands it to the other holders of its key. */
    void ended(Job job, Answer answer, Context context) {
        KeyRecord record = running.remove(job.id());
        if (record == null) {
            return;
        }
        KeyRecord ended = record.withAnswer(answer);
        int shard = ShardHolders.shardOf(job.id());
        if (store.get(shard, job.id()) != null) {
            store.put(shard, ended);
        }
        if (board.shards().get(shard).phase() == Phase.ACTIVE) {
            tellBackup(shard, ended, context);
        } else {
            Handover handover = new Handover(shard, ended);
            handovers.put(job.id(), handover);
            send(handover, context);
        }
    }

    private void tellBackup(int shard, KeyRecord ended, Context context) {
        Optional<Member> backup = board.views().current().holders(shard).backup();
        backup.ifPresent(b -> send(b.vm(), new FinishedRecord(shard, ended, false), context));
    }

    private void send(Handover handover, Context context) {
        handover.retryAtMs = context.nowMs() + RETRY_MS;
        handover.tries++;
        ZoneView view = board.views().current();
        if (!view.isPresent()) {
            return;
        }
        Member primary = view.holders(handover.shard).primary();
        if (primary.equals(board.settings().self())) {
            takeFinished(new FinishedRecord(handover.shard, handover.record, false), primary, context);
            if (board.shards().get(handover.shard).phase() == Phase.ACTIVE) {
                handovers.remove(handover.record.job());
            }
        } else {
            send(primary.vm(), new FinishedRecord(handover.shard, handover.record, true), context);
        }
    }

    void receive(Member from, SubmissionMessage message, Context context) {
        if (message instanceof PutRecord p) {
            takeRecord(from, p, context);
        } else if (message instanceof RecordHeld h) {
            takeHeld(from, h, context);
        } else if (message instanceof FinishedRecord f) {
            takeFinished(f, from, context);
        } else if (message instanceof FinishedHeld h) {
            handovers.remove(h.job());
        }
    }

    private void takeRecord(Member from, PutRecord p, Context context) {
        ZoneView view = board.views().current();
        ShardState shard = board.shards().get(p.shard());
        boolean allowed = p.view() == view.number()
                && view.holders(p.shard()).primary().equals(from)
                && shard.completeView() == p.view()
                && shard.sealedBelow() <= p.view();
        boolean room = store.get(p.shard(), p.record().job()) != null || !store.isFull();
        if (!allowed || !room) {
            return;
        }
        store.put(p.shard(), p.record());
        boolean ended = store.get(p.shard(), p.record().job()).ended();
        send(from.vm(), new RecordHeld(p.view(), p.shard(), p.record().job(), ended), context);
    }

    private void takeHeld(Member from, RecordHeld h, Context context) {
        ZoneView view = board.views().current();
        ShardState shard = board.shards().get(h.shard());
        Put put = puts.get(h.job());
        boolean expected = put != null
                && h.view() == view.number()
                && put.record.ended() == h.ended()
                && shard.phase() == Phase.ACTIVE
                && view.holders(h.shard()).backup().filter(from::equals).isPresent();
        if (expected) {
            complete(put, context);
        }
    }

    private void takeFinished(FinishedRecord f, Member from, Context context) {
        JobId id = f.record().job();
        Phase phase = board.shards().get(f.shard()).phase();
        KeyRecord before = store.get(f.shard(), id);
        boolean known = before != null && before.owner().equals(f.record().owner());
        if (known && !before.ended()) {
            store.put(f.shard(), f.record());
            answerJoined(id, keptAnswer(f.record()), context);
            if (phase == Phase.ACTIVE) {
                tellBackup(f.shard(), f.record(), context);
            }
        }
        if (f.acknowledge() && phase == Phase.ACTIVE) {
            send(from.vm(), new FinishedHeld(id), context);
        }
    }

    private void answerJoined(JobId id, Answer answer, Context context) {
        Joined j = joined.remove(id);
        if (j != null) {
            j.waiters.forEach(w -> answers.deliver(w, answer, context));
        }
    }

    @Override
    public void activated(int shard, Context context) {
        for (Put p : new ArrayList<>(puts.values())) {
            if (p.shard == shard) {
                resume(p, context);
            }
        }
        List<Held> ready = held.values().stream().filter(h -> h.shard == shard).toList();
        ready.forEach(h -> held.remove(h.waiter));
        ready.forEach(h -> submit(h.submission, h.waiter, context));
    }

    /**
     * Goes on with a job that was not admitted when the view changed.
     *
     * <p>A member of a view that was given up may have started the job, so that the key is decided about anew unless
     * this VM's own record of it still stands.
     */
    private void resume(Put put, Context context) {
        JobId id = put.record.job();
        boolean stands = put.record.equals(store.get(put.shard, id));
        if (stands
                && refuseKey(put.shard, put.job.submission(), context.nowMs()).isEmpty()) {
            send(put, context);
            return;
        }
        if (stands) {
            store.remove(put.shard, id);
        }
        puts.remove(id);
        jobs.removeUnadmitted(put.job);
        put.job.waiters().forEach(w -> decide(put.shard, put.job.submission(), w, context));
    }

    /** Decides anew, once the shard is active, about keys that another holder may have started meanwhile. */
    @Override
    public void replacing(int shard, Context context) {
        for (Put p : dropPuts(shard)) {
            Submission again = p.job.submission().withDeadline(Math.max(1, p.job.deadlineAtMs() - context.nowMs()));
            p.job.waiters().forEach(w -> hold(shard, again, w, context));
        }
    }

    private List<Put> dropPuts(int shard) {
        List<Put> dropped = puts.values().stream().filter(p -> p.shard == shard).toList();
        for (Put p : dropped) {
            puts.remove(p.record.job());
            jobs.removeUnadmitted(p.job);
            if (p.record.equals(store.get(shard, p.record.job()))) {
                store.remove(shard, p.record.job());
            }
        }
        return dropped;
    }

    @Override
    public void deactivated(int shard, Context context) {
        dropPuts(shard);
        held.values().removeIf(h -> h.shard == shard);
        joined.values().removeIf(j -> j.shard == shard);
    }

    /** Returns the state of a key's job, empty if this VM cannot tell. */
    Optional<JobStatus> status(JobId id) {
        int shard = ShardHolders.shardOf(id);
        Job job = jobs.get(id);
        if (job != null) {
            return Optional.of(running(job));
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
                    JobStatus.State.ENDED, record.tasks(), record.tasks(), Optional.of(keptAnswer(record))));
        }
        return Optional.of(new JobStatus(JobStatus.State.RUNNING, record.tasks(), 0, Optional.empty()));
    }

    private static JobStatus running(Job job) {
        JobStatus.State state = job.withdrawn().isPresent() ? JobStatus.State.CANCELLING : JobStatus.State.RUNNING;
        return new JobStatus(state, job.submission().tasks().size(), job.endedTasks(), Optional.empty());
    }

    /** Returns the other member that runs the job of a key, if there is one and this VM decides about the key. */
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

    /** Cancels the job of a key if it runs here. */
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

    /** Repeats what was not answered, gives up what waited too long and drops what has expired. */
    void tick(Context context) {
        for (Put p : new ArrayList<>(puts.values())) {
            if (context.nowMs() >= p.retryAtMs && board.shards().get(p.shard).phase() == Phase.ACTIVE) {
                send(p, context);
            }
        }
        for (Handover h : new ArrayList<>(handovers.values())) {
            if (h.tries >= MAX_HANDOVER_TRIES) {
                handovers.remove(h.record.job());
            } else if (context.nowMs() >= h.retryAtMs) {
                send(h, context);
            }
        }
        board.submissions().setOpenHandovers(handovers.size());
        giveUpHeld(context);
        giveUpJoined(context);
        store.expire(nextExpiry, context.nowMs());
        nextExpiry = (nextExpiry + 1) % ShardHolders.SHARDS;
    }

    private void giveUpHeld(Context context) {
        List<Held> over =
                held.values().stream().filter(h -> context.nowMs() >= h.untilMs).toList();
        over.forEach(h -> held.remove(h.waiter));
        over.forEach(h ->
                answers.deliver(h.waiter, unknown(Reason.UNAVAILABLE, "the key shard is being recovered"), context));
    }

    private void giveUpJoined(Context context) {
        for (Map.Entry<JobId, Joined> e : new ArrayList<>(joined.entrySet())) {
            KeyRecord record = store.get(e.getValue().shard, e.getKey());
            boolean over = record == null
                    || context.nowMs() >= e.getValue().untilMs
                    || !mayEndElsewhere(record, context.nowMs());
            if (over) {
                answerJoined(e.getKey(), unknown(Reason.ANSWER_LOST, "the job's end is not known here"), context);
            }
        }
    }

    private static Answer unknown(Reason reason, String detail) {
        return new Answer.Unknown(reason, detail);
    }

    private static void send(VmId to, SubmissionMessage message, Context context) {
        context.emit(new Effect.SendPeer(to, message));
    }

    /** A record on its way to the backup. */
    private static final class Put {

        private final int shard;
        private final Job job;
        private KeyRecord record;
        private long retryAtMs;

        Put(int shard, KeyRecord record, Job job) {
            this.shard = shard;
            this.record = record;
            this.job = job;
        }
    }

    /** A final answer on its way to the new home of its key. */
    private static final class Handover {

        private final int shard;
        private final KeyRecord record;
        private long retryAtMs;
        private int tries;

        Handover(int shard, KeyRecord record) {
            this.shard = shard;
            this.record = record;
        }
    }

    /** Those who wait for the end of a job that another member runs. */
    private static final class Joined {

        private final int shard;
        private final long untilMs;
        private final Set<Waiter> waiters = new LinkedHashSet<>();

        Joined(int shard, long untilMs) {
            this.shard = shard;
            this.untilMs = untilMs;
        }
    }

    /** A submission that waits until its shard is active. */
    private record Held(int shard, Submission submission, Waiter waiter, long untilMs) {}
}
