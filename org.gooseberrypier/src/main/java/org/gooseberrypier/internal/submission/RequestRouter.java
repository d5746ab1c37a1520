package org.gooseberrypier.internal.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.effect.JobStatus;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.PeerState;
import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.internal.board.Waiter;
import org.gooseberrypier.internal.board.ZoneView;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.peer.SubmissionMessage;
import org.gooseberrypier.peer.SubmissionMessage.Forward;
import org.gooseberrypier.peer.SubmissionMessage.ForwardAnswer;
import org.gooseberrypier.peer.SubmissionMessage.StatusReply;
import org.gooseberrypier.peer.SubmissionMessage.StatusRequest;
import org.gooseberrypier.ticket.VmSpec;

/** Routes keyed requests of this VM's callers to the primary of their key and delivers the answers to the callers. */
final class RequestRouter implements AnswerSink {

    private static final int MAX_OPEN_REQUESTS = 50_000;
    private static final int MAX_HOPS = 3;
    private static final long RESEND_BACKOFF_MS = 1_000;
    private static final long MAX_RESEND_BACKOFF_MS = 8_000;
    private static final long ROUTE_TIMEOUT_MS = 3_000;
    private static final long STATUS_TIMEOUT_MS = 3_000;
    private static final long ANSWER_GRACE_MS = 2_500;
    private static final long LINK_DOWN_RESEND_DELAY_MS = 300;

    private final Blackboard board;
    private final HomeZones homeZones;
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final Map<Long, Long> requestIdByCall = new HashMap<>();
    private KeyedJobService keyedJobs;

    RequestRouter(Blackboard board, HomeZones homeZones) {
        this.board = board;
        this.homeZones = homeZones;
    }

    void setKeyedJobs(KeyedJobService value) {
        keyedJobs = value;
    }

    void submit(long call, Submission submission, Context context) {
        IdempotencyKey key = submission.key().orElseThrow();
        Request request = new Request(context.nextId(), call, submission.team(), key);
        request.submission = submission;
        request.deadlineAtMs = context.nowMs() + submission.deadlineMs();
        request.timeoutAtMs = request.deadlineAtMs + ANSWER_GRACE_MS;
        add(request, context);
    }

    void requestStatus(long call, TeamId team, IdempotencyKey key, boolean cancel, Context context) {
        Request request = new Request(context.nextId(), call, team, key);
        request.cancel = cancel;
        request.timeoutAtMs = context.nowMs() + STATUS_TIMEOUT_MS;
        add(request, context);
    }

    private void add(Request request, Context context) {
        request.routeTimeoutAtMs = context.nowMs() + ROUTE_TIMEOUT_MS;
        requests.put(request.id, request);
        requestIdByCall.put(request.call, request.id);
        board.submissions().setOpenRequests(requests.size());
        if (requests.size() > MAX_OPEN_REQUESTS) {
            abandon(request, Reason.OVERLOADED, "too many keyed requests are open", context);
        } else {
            route(request, context);
        }
    }

    /** Removes the request of a disconnected caller; a later answer is dropped. */
    void dropCall(long call) {
        Long id = requestIdByCall.remove(call);
        if (id != null) {
            requests.remove(id);
            board.submissions().setOpenRequests(requests.size());
            board.counters().increment(Counter.ANSWERS_DROPPED);
        }
    }

    /** Routes open requests of this VM's home zone again after a view change, which may have changed their primary. */
    void reroute(Context context) {
        for (Request r : new ArrayList<>(requests.values())) {
            if (homeZones.isLocal(r.job, r.key, context.nowMs()) && requests.containsKey(r.id)) {
                r.resendBackoffMs = RESEND_BACKOFF_MS;
                route(r, context);
            }
        }
    }

    /** Schedules an early resend of the requests that were sent to a VM whose link is down. */
    void linkDown(VmId vm, Context context) {
        for (Request r : requests.values()) {
            if (vm.equals(r.target)) {
                r.resendAtMs = Math.min(r.resendAtMs, context.nowMs() + LINK_DOWN_RESEND_DELAY_MS);
            }
        }
    }

    /** Resends unanswered requests and abandons those that have timed out. */
    void tick(Context context) {
        for (Request r : new ArrayList<>(requests.values())) {
            boolean routeTimedOut = r.target == null && context.nowMs() >= r.routeTimeoutAtMs;
            if (context.nowMs() >= r.timeoutAtMs || routeTimedOut) {
                abandon(r, Reason.UNAVAILABLE, "the home of the key did not answer", context);
            } else if (r.target == null || context.nowMs() >= r.resendAtMs) {
                route(r, context);
            }
        }
    }

    /** Abandons all open requests and answers their callers: submissions as unknown, status requests as not found. */
    void abandonAll(Context context) {
        for (Request r : new ArrayList<>(requests.values())) {
            abandon(r, Reason.STOPPING, "the VM stopped before the home of the key answered", context);
        }
    }

    private void abandon(Request request, Reason reason, String detail, Context context) {
        if (request.submission != null) {
            complete(request.id, new Answer.Unknown(reason, detail), context);
        } else {
            JobStatus notFound = new JobStatus(JobStatus.State.NOT_FOUND, 0, 0, Optional.empty());
            completeStatus(request.id, notFound, context);
        }
    }

    private void route(Request request, Context context) {
        ZoneId zone =
                homeZones.homeOf(request.job, request.key, context.nowMs()).orElse(null);
        if (zone == null) {
            return;
        }
        if (!zone.equals(board.settings().zone())) {
            chooseVm(zone, context).ifPresent(vm -> send(request, vm, context));
            return;
        }
        ZoneView view = board.views().current();
        if (!view.isPresent()) {
            return;
        }
        Member primary = view.holders(ShardHolders.shardOf(request.job)).primary();
        if (primary.equals(board.settings().self())) {
            markSent(request, primary.vm(), context);
            handleLocally(request, context);
        } else {
            send(request, primary.vm(), context);
        }
    }

    private void handleLocally(Request request, Context context) {
        Member self = board.settings().self();
        if (request.submission != null) {
            keyedJobs.submit(request.remaining(context.nowMs()), new Waiter.Request(self, request.id), context);
        } else {
            answerStatus(request.toStatusRequest(self), context);
        }
    }

    private void send(Request request, VmId to, Context context) {
        markSent(request, to, context);
        board.counters().increment(Counter.FORWARDS_SENT);
        context.emit(new Effect.SendPeer(to, request.toMessage(board.settings().self(), context.nowMs())));
    }

    private static void markSent(Request request, VmId to, Context context) {
        request.target = to;
        request.resendAtMs = context.nowMs() + request.resendBackoffMs;
        request.resendBackoffMs = Math.min(2 * request.resendBackoffMs, MAX_RESEND_BACKOFF_MS);
    }

    private Optional<VmId> chooseVm(ZoneId zone, Context context) {
        List<VmId> live = new ArrayList<>();
        List<VmId> all = new ArrayList<>();
        for (VmSpec v : board.tickets().inForce().vms().values()) {
            if (v.zone().equals(zone) && !v.leaving()) {
                all.add(v.id());
                PeerState peer = board.membership().peers().get(v.id());
                if (peer != null && peer.isReady() && board.membership().isLive(peer.member(), context.nowMs())) {
                    live.add(v.id());
                }
            }
        }
        List<VmId> choice = live.isEmpty() ? all : live;
        return choice.isEmpty()
                ? Optional.empty()
                : Optional.of(choice.get(context.random().nextInt(choice.size())));
    }

    /** Handles a message about requests and ignores others. */
    void receive(SubmissionMessage message, Context context) {
        if (message instanceof Forward f) {
            handleForward(f, context);
        } else if (message instanceof StatusRequest s) {
            handleStatusRequest(s, context);
        } else if (message instanceof ForwardAnswer a && isSelf(a.origin())) {
            complete(a.request(), a.answer(), context);
        } else if (message instanceof StatusReply r && isSelf(r.origin())) {
            completeStatus(r.request(), r.status(), context);
        }
    }

    private boolean isSelf(Member origin) {
        return origin.equals(board.settings().self());
    }

    private void handleForward(Forward f, Context context) {
        Submission s = f.submission();
        JobId job = KeyedSubmission.jobId(s);
        IdempotencyKey key = s.key().orElseThrow();
        if (isPrimaryOf(job) && homeZones.isLocal(job, key, context.nowMs())) {
            keyedJobs.submit(s, new Waiter.Request(f.origin(), f.request()), context);
        } else {
            forward(job, key, f.hops(), new Forward(f.origin(), f.request(), f.hops() + 1, s), context);
        }
    }

    private void handleStatusRequest(StatusRequest s, Context context) {
        JobId job = JobId.keyed(s.team(), s.key().value());
        if (isPrimaryOf(job) || keyedJobs.status(job).isPresent()) {
            answerStatus(s, context);
        } else {
            StatusRequest next =
                    new StatusRequest(s.origin(), s.request(), s.hops() + 1, s.team(), s.key(), s.cancel());
            forward(job, s.key(), s.hops(), next, context);
        }
    }

    private boolean isPrimaryOf(JobId job) {
        ZoneView view = board.views().current();
        return view.isPresent()
                && view.holders(ShardHolders.shardOf(job))
                        .primary()
                        .equals(board.settings().self());
    }

    private void forward(JobId job, IdempotencyKey key, int hops, SubmissionMessage message, Context context) {
        ZoneId zone = homeZones.homeOf(job, key, context.nowMs()).orElse(null);
        ZoneView view = board.views().current();
        Optional<VmId> next = Optional.empty();
        if (zone != null && !zone.equals(board.settings().zone())) {
            next = chooseVm(zone, context);
        } else if (zone != null && view.isPresent()) {
            next = Optional.of(view.holders(ShardHolders.shardOf(job)).primary().vm());
        }
        if (hops < MAX_HOPS && next.isPresent()) {
            board.counters().increment(Counter.FORWARDS_SENT);
            context.emit(new Effect.SendPeer(next.get(), message));
        }
    }

    private void answerStatus(StatusRequest s, Context context) {
        JobId job = JobId.keyed(s.team(), s.key().value());
        Optional<Member> remoteOwner = keyedJobs.remoteOwner(job);
        if (remoteOwner.isPresent() && s.hops() < MAX_HOPS) {
            StatusRequest next =
                    new StatusRequest(s.origin(), s.request(), s.hops() + 1, s.team(), s.key(), s.cancel());
            context.emit(new Effect.SendPeer(remoteOwner.get().vm(), next));
            return;
        }
        if (s.cancel()) {
            keyedJobs.cancel(job, context);
        }
        Optional<JobStatus> status = keyedJobs.status(job);
        if (status.isEmpty()) {
            return;
        }
        if (isSelf(s.origin())) {
            completeStatus(s.request(), status.get(), context);
        } else {
            context.emit(new Effect.SendPeer(s.origin().vm(), new StatusReply(s.origin(), s.request(), status.get())));
        }
    }

    @Override
    public void deliver(Waiter waiter, Answer answer, Context context) {
        if (waiter instanceof Waiter.Call c) {
            context.emit(new Effect.AnswerCaller(c.call(), answer));
        } else if (waiter instanceof Waiter.Request r && isSelf(r.origin())) {
            complete(r.request(), answer, context);
        } else if (waiter instanceof Waiter.Request r) {
            context.emit(new Effect.SendPeer(r.origin().vm(), new ForwardAnswer(r.origin(), r.request(), answer)));
        }
    }

    private void complete(long id, Answer answer, Context context) {
        Request request = remove(id);
        if (request != null && request.submission != null) {
            context.emit(new Effect.AnswerCaller(request.call, answer));
        }
    }

    private void completeStatus(long id, JobStatus status, Context context) {
        Request request = remove(id);
        if (request != null && request.submission == null) {
            context.emit(new Effect.SendStatus(request.call, status));
        }
    }

    private Request remove(long id) {
        Request request = requests.remove(id);
        if (request == null) {
            board.counters().increment(Counter.ANSWERS_DROPPED);
            return null;
        }
        requestIdByCall.remove(request.call);
        board.submissions().setOpenRequests(requests.size());
        return request;
    }

    /** One keyed request of a caller of this VM. */
    private static final class Request {

        private final long id;
        private final long call;
        private final TeamId team;
        private final IdempotencyKey key;
        private final JobId job;
        private Submission submission;
        private boolean cancel;
        private long deadlineAtMs;
        private long timeoutAtMs;
        private long routeTimeoutAtMs;
        private long resendAtMs;
        private long resendBackoffMs = RESEND_BACKOFF_MS;
        private VmId target;

        Request(long id, long call, TeamId team, IdempotencyKey key) {
            this.id = id;
            this.call = call;
            this.team = team;
            this.key = key;
            this.job = JobId.keyed(team, key.value());
        }

        /** Returns the submission with the time remaining until its deadline, at least 1 ms. */
        Submission remaining(long nowMs) {
            return submission.withDeadline(Math.max(1, deadlineAtMs - nowMs));
        }

        SubmissionMessage toMessage(Member self, long nowMs) {
            return submission != null ? new Forward(self, id, 0, remaining(nowMs)) : toStatusRequest(self);
        }

        StatusRequest toStatusRequest(Member self) {
            return new StatusRequest(self, id, 0, team, key, cancel);
        }
    }
}
