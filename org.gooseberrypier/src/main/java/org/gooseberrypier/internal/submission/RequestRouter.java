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

/** Takes keyed requests of this VM's callers to the primary of their key and brings the answers back. */
final class RequestRouter implements AnswerSink {

    private static final int MAX_REQUESTS = 50_000;
    private static final int MAX_HOPS = 3;
    private static final long RESEND_MS = 1_000;
    private static final long MAX_RESEND_MS = 8_000;
    private static final long NO_ROUTE_MS = 3_000;
    private static final long STATUS_TIMEOUT_MS = 3_000;
    private static final long ANSWER_GRACE_MS = 2_500;
    private static final long LINK_RETRY_MS = 300;

    private final Blackboard board;
    private final HomeZones homeZones;
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final Map<Long, Long> requestOfCall = new HashMap<>();
    private KeyedJobService home;

    RequestRouter(Blackboard board, HomeZones homeZones) {
        this.board = board;
        this.homeZones = homeZones;
    }

    void setKeyedJobs(KeyedJobService value) {
        home = value;
    }

    void submit(long call, Submission submission, Context context) {
        IdempotencyKey key = submission.key().orElseThrow();
        Request request = new Request(context.nextId(), call, submission.team(), key);
        request.submission = submission;
        request.deadlineAtMs = context.nowMs() + submission.deadlineMs();
        request.giveUpAtMs = request.deadlineAtMs + ANSWER_GRACE_MS;
        add(request, context);
    }

    void requestStatus(long call, TeamId team, IdempotencyKey key, boolean cancel, Context context) {
        Request request = new Request(context.nextId(), call, team, key);
        request.cancel = cancel;
        request.giveUpAtMs = context.nowMs() + STATUS_TIMEOUT_MS;
        add(request, context);
    }

    private void add(Request request, Context context) {
        request.routeByMs = context.nowMs() + NO_ROUTE_MS;
        requests.put(request.id, request);
        requestOfCall.put(request.call, request.id);
        board.submissions().setOpenRequests(requests.size());
        if (requests.size() > MAX_REQUESTS) {
            giveUp(request, Reason.OVERLOADED, "too many keyed requests are open", context);
        } else {
            route(request, context);
        }
    }

    /** Forgets the caller that is gone; its answer is dropped when it comes. */
    void dropCall(long call) {
        Long id = requestOfCall.remove(call);
        if (id != null) {
            requests.remove(id);
            board.submissions().setOpenRequests(requests.size());
            board.counters().increment(Counter.ANSWERS_DROPPED);
        }
    }

    /** Sends the requests whose home has changed to the new one. */
    void reroute(Context context) {
        for (Request r : new ArrayList<>(requests.values())) {
            if (homeZones.isLocal(r.job, r.key, context.nowMs()) && requests.containsKey(r.id)) {
                r.waitMs = RESEND_MS;
                route(r, context);
            }
        }
    }

    /** Sends again soon what may have been lost with a link. */
    void linkDown(VmId vm, Context context) {
        for (Request r : requests.values()) {
            if (vm.equals(r.target)) {
                r.resendAtMs = Math.min(r.resendAtMs, context.nowMs() + LINK_RETRY_MS);
            }
        }
    }

    /** Repeats what was not answered and gives up what waited too long. */
    void tick(Context context) {
        for (Request r : new ArrayList<>(requests.values())) {
            boolean noRoute = r.target == null && context.nowMs() >= r.routeByMs;
            if (context.nowMs() >= r.giveUpAtMs || noRoute) {
                giveUp(r, Reason.UNAVAILABLE, "the home of the key did not answer", context);
            } else if (r.target == null || context.nowMs() >= r.resendAtMs) {
                route(r, context);
            }
        }
    }

    /** Answers all requests that are still open. */
    void abandonAll(Context context) {
        for (Request r : new ArrayList<>(requests.values())) {
            giveUp(r, Reason.STOPPING, "the VM stopped before the home of the key answered", context);
        }
    }

    private void giveUp(Request request, Reason reason, String detail, Context context) {
        if (request.submission != null) {
            complete(request.id, new Answer.Unknown(reason, detail), context);
        } else {
            JobStatus none = new JobStatus(JobStatus.State.NOT_FOUND, 0, 0, Optional.empty());
            completeStatus(request.id, none, context);
        }
    }

    private void route(Request request, Context context) {
        ZoneId zone =
                homeZones.homeOf(request.job, request.key, context.nowMs()).orElse(null);
        if (zone == null) {
            return;
        }
        if (!zone.equals(board.settings().zone())) {
            chooseIn(zone, context).ifPresent(vm -> send(request, vm, context));
            return;
        }
        ZoneView view = board.views().current();
        if (!view.isPresent()) {
            return;
        }
        Member primary = view.holders(ShardHolders.shardOf(request.job)).primary();
        if (primary.equals(board.settings().self())) {
            sent(request, primary.vm(), context);
            decideHere(request, context);
        } else {
            send(request, primary.vm(), context);
        }
    }

    private void decideHere(Request request, Context context) {
        Member self = board.settings().self();
        if (request.submission != null) {
            home.submit(request.remaining(context.nowMs()), new Waiter.Request(self, request.id), context);
        } else {
            answerStatus(request.toStatusRequest(self), context);
        }
    }

    private void send(Request request, VmId to, Context context) {
        sent(request, to, context);
        board.counters().increment(Counter.FORWARDS_SENT);
        context.emit(new Effect.SendPeer(to, request.toMessage(board.settings().self(), context.nowMs())));
    }

    private static void sent(Request request, VmId to, Context context) {
        request.target = to;
        request.resendAtMs = context.nowMs() + request.waitMs;
        request.waitMs = Math.min(2 * request.waitMs, MAX_RESEND_MS);
    }

    private Optional<VmId> chooseIn(ZoneId zone, Context context) {
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

    /** Handles a message about requests; tells whether it was one. */
    void receive(SubmissionMessage message, Context context) {
        if (message instanceof Forward f) {
            takeForward(f, context);
        } else if (message instanceof StatusRequest s) {
            takeStatusRequest(s, context);
        } else if (message instanceof ForwardAnswer a && isMine(a.origin())) {
            complete(a.request(), a.answer(), context);
        } else if (message instanceof StatusReply r && isMine(r.origin())) {
            completeStatus(r.request(), r.status(), context);
        }
    }

    private boolean isMine(Member origin) {
        return origin.equals(board.settings().self());
    }

    private void takeForward(Forward f, Context context) {
        Submission s = f.submission();
        JobId job = KeyedSubmission.jobId(s);
        IdempotencyKey key = s.key().orElseThrow();
        if (isPrimaryOf(job) && homeZones.isLocal(job, key, context.nowMs())) {
            home.submit(s, new Waiter.Request(f.origin(), f.request()), context);
        } else {
            passOn(job, key, f.hops(), new Forward(f.origin(), f.request(), f.hops() + 1, s), context);
        }
    }

    private void takeStatusRequest(StatusRequest s, Context context) {
        JobId job = JobId.keyed(s.team(), s.key().value());
        if (isPrimaryOf(job) || home.status(job).isPresent()) {
            answerStatus(s, context);
        } else {
            StatusRequest next =
                    new StatusRequest(s.origin(), s.request(), s.hops() + 1, s.team(), s.key(), s.cancel());
            passOn(job, s.key(), s.hops(), next, context);
        }
    }

    private boolean isPrimaryOf(JobId job) {
        ZoneView view = board.views().current();
        return view.isPresent()
                && view.holders(ShardHolders.shardOf(job))
                        .primary()
                        .equals(board.settings().self());
    }

    private void passOn(JobId job, IdempotencyKey key, int hops, SubmissionMessage message, Context context) {
        ZoneId zone = homeZones.homeOf(job, key, context.nowMs()).orElse(null);
        ZoneView view = board.views().current();
        Optional<VmId> next = Optional.empty();
        if (zone != null && !zone.equals(board.settings().zone())) {
            next = chooseIn(zone, context);
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
        Optional<Member> elsewhere = home.remoteOwner(job);
        if (elsewhere.isPresent() && s.hops() < MAX_HOPS) {
            StatusRequest next =
                    new StatusRequest(s.origin(), s.request(), s.hops() + 1, s.team(), s.key(), s.cancel());
            context.emit(new Effect.SendPeer(elsewhere.get().vm(), next));
            return;
        }
        if (s.cancel()) {
            home.cancel(job, context);
        }
        Optional<JobStatus> status = home.status(job);
        if (status.isEmpty()) {
            return;
        }
        if (isMine(s.origin())) {
            completeStatus(s.request(), status.get(), context);
        } else {
            context.emit(new Effect.SendPeer(s.origin().vm(), new StatusReply(s.origin(), s.request(), status.get())));
        }
    }

    @Override
    public void deliver(Waiter waiter, Answer answer, Context context) {
        if (waiter instanceof Waiter.Call c) {
            context.emit(new Effect.AnswerCaller(c.call(), answer));
        } else if (waiter instanceof Waiter.Request r && isMine(r.origin())) {
            complete(r.request(), answer, context);
        } else if (waiter instanceof Waiter.Request r) {
            context.emit(new Effect.SendPeer(r.origin().vm(), new ForwardAnswer(r.origin(), r.request(), answer)));
        }
    }

    private void complete(long id, Answer answer, Context context) {
        Request request = take(id);
        if (request != null && request.submission != null) {
            context.emit(new Effect.AnswerCaller(request.call, answer));
        }
    }

    private void completeStatus(long id, JobStatus status, Context context) {
        Request request = take(id);
        if (request != null && request.submission == null) {
            context.emit(new Effect.SendStatus(request.call, status));
        }
    }

    private Request take(long id) {
        Request request = requests.remove(id);
        if (request == null) {
            board.counters().increment(Counter.ANSWERS_DROPPED);
            return null;
        }
        requestOfCall.remove(request.call);
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
        private long giveUpAtMs;
        private long routeByMs;
        private long resendAtMs;
        private long waitMs = RESEND_MS;
        private VmId target;

        Request(long id, long call, TeamId team, IdempotencyKey key) {
            this.id = id;
            this.call = call;
            this.team = team;
            this.key = key;
            this.job = JobId.keyed(team, key.value());
        }

        /** Returns the submission with what is left of its deadline. */
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
