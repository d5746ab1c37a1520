package org.gooseberrypier.internal.submission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.gooseberrypier.api.Core;
import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.effect.JobStatus;
import org.gooseberrypier.event.CallerEvent;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.LifecycleEvent;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskRef;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.peer.PeerMessage;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.VmSpec;

/** Simulates several VMs of a zone on one thread with virtual time, with faulty links, a log and one endpoint. */
final class FakeZone {

    static final ZoneId ZONE = new ZoneId("tartu-a");
    static final TeamId TEAM = new TeamId("tartu");
    static final long START_MS = 1_000_000;
    private static final WorkId WORK = new WorkId("verify");
    private static final long LINK_DELAY_MS = 1;
    private static final long LOG_DELAY_MS = 10;

    final Map<Long, Answer> answers = new LinkedHashMap<>();
    final Map<Long, JobStatus> statuses = new HashMap<>();
    final Map<TaskRef, Integer> starts = new LinkedHashMap<>();
    final Map<VmId, Node> nodes = new LinkedHashMap<>();
    final Map<StreamId, List<LogRecord>> log = new HashMap<>();
    BiPredicate<VmId, VmId> partitioned = (from, to) -> false;
    Predicate<PeerMessage> dropped = m -> false;
    Predicate<PeerMessage> duplicated = m -> false;
    LongSupplier linkDelayMs = () -> LINK_DELAY_MS;
    LongSupplier appendDelayMs = () -> LOG_DELAY_MS;
    Predicate<VmId> logUnavailable = vm -> false;
    long taskRunMs = 50;
    long nowMs = START_MS;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMs).thenComparingLong(Step::sequence));
    private final SafetyGuards guards;
    private long sequence;
    private long lastCall;
    private long incarnations;
    private long ticket;

    FakeZone(SafetyGuards guards, String... vms) {
        this.guards = guards;
        publish(List.of(vms), Set.of());
        for (String v : vms) {
            startVm(new VmId(v));
        }
    }

    static FakeZone running(String... vms) {
        FakeZone zone = new FakeZone(SafetyGuards.ALL, vms);
        zone.run(3_000);
        return zone;
    }

    void publish(List<String> vms, Set<String> leaving) {
        List<VmSpec> specs = vms.stream()
                .map(v -> new VmSpec(new VmId(v), ZONE, "127.0.0.1:" + port(v), leaving.contains(v)))
                .toList();
        EndpointSpec endpoint = new EndpointSpec(
                new EndpointId("e-1"), ZONE, "127.0.0.1:2", Set.of(WORK), 8, 64, Optional.empty(), false);
        ticket++;
        Ticket t = new Ticket(
                ticket,
                "t-" + ticket,
                "operator",
                "test",
                Optional.of(specs),
                Optional.of(List.of(endpoint)),
                Optional.empty(),
                Optional.empty());
        append(StreamId.TICKETS, TicketCodec.format(t));
    }

    /** Starts a new incarnation of a VM without any state. */
    Node startVm(VmId vm) {
        Node node = new Node(new Member(vm, ++incarnations));
        nodes.put(vm, node);
        handle(node, new LifecycleEvent.Started());
        tail(node, StreamId.TICKETS, 0);
        return node;
    }

    void kill(VmId vm) {
        nodes.get(vm).killed = true;
    }

    Node node(String vm) {
        return nodes.get(new VmId(vm));
    }

    void run(long ms) {
        long end = nowMs + ms;
        while (!steps.isEmpty() && steps.peek().atMs <= end) {
            Step s = steps.poll();
            nowMs = Math.max(nowMs, s.atMs);
            s.action.run();
        }
        nowMs = end;
    }

    long submit(String vm, Submission submission) {
        long call = ++lastCall;
        handle(node(vm), new CallerEvent.Submitted(call, submission));
        return call;
    }

    long cancel(String vm, IdempotencyKey key) {
        long call = ++lastCall;
        handle(node(vm), new CallerEvent.CancelRequested(call, TEAM, key));
        return call;
    }

    Submission keyed(String key, String body) {
        IdempotencyKey k = new IdempotencyKey(key, Optional.of(nowMs), Optional.of(ZONE));
        return new Submission(TEAM, WORK, 10_000, false, Optional.of(k), List.of(task("a", body), task("b", body)));
    }

    Submission keyless() {
        return new Submission(TEAM, WORK, 10_000, false, Optional.empty(), List.of(task("a", "x")));
    }

    int starts(String key) {
        JobId job = JobId.keyed(TEAM, key);
        return starts.entrySet().stream()
                .filter(e -> e.getKey().job().equals(job))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    void handle(Node node, Event event) {
        if (node.killed || node.exited) {
            return;
        }
        if (node.paused) {
            node.pausedEvents.add(event);
            return;
        }
        node.core.handle(event, nowMs);
        scheduleTimers(node);
    }

    void resume(Node node) {
        node.paused = false;
        while (!node.pausedEvents.isEmpty()) {
            handle(node, node.pausedEvents.poll());
        }
        scheduleTimers(node);
    }

    private static int port(String vm) {
        return 1_000 + vm.charAt(vm.length() - 1);
    }

    private static TaskSpec task(String id, String body) {
        return new TaskSpec(id, Payload.of(body), 0, Resources.NONE);
    }

    private void at(long atMs, Runnable action) {
        steps.add(new Step(Math.max(nowMs, atMs), ++sequence, action));
    }

    private void scheduleTimers(Node node) {
        long due = node.core.nextTimerAtMs();
        if (due < node.timerAtMs) {
            node.timerAtMs = due;
            at(due, () -> {
                node.timerAtMs = Long.MAX_VALUE;
                if (!node.killed && !node.paused && !node.exited) {
                    node.core.advance(nowMs);
                    scheduleTimers(node);
                }
            });
        }
    }

    private void append(StreamId stream, Payload data) {
        List<LogRecord> records = log.computeIfAbsent(stream, s -> new ArrayList<>());
        records.add(new LogRecord(records.size(), nowMs, data));
    }

    private void tail(Node node, StreamId stream, int from) {
        at(nowMs + LOG_DELAY_MS, () -> {
            List<LogRecord> records = log.getOrDefault(stream, List.of());
            if (logUnavailable.test(node.self.vm())) {
                tail(node, stream, from);
            } else if (!node.killed && !node.exited) {
                handle(node, new LogEvent.Read(stream, from, 0, records.size(), records.subList(from, records.size())));
                tail(node, stream, records.size());
            }
        });
    }

    private void perform(Node node, Effect effect) {
        VmId vm = node.self.vm();
        if (effect instanceof Effect.SendPeer s) {
            send(node, s);
        } else if (effect instanceof Effect.TailStream t) {
            tail(node, t.stream(), 0);
        } else if (effect instanceof Effect.AppendLog a && !logUnavailable.test(vm)) {
            at(nowMs + appendDelayMs.getAsLong(), () -> append(a.stream(), a.data()));
        } else if (effect instanceof Effect.AnswerCaller a) {
            if (answers.put(a.call(), a.answer()) != null) {
                throw new AssertionError("call " + a.call() + " answered twice");
            }
        } else if (effect instanceof Effect.SendStatus t) {
            statuses.put(t.call(), t.status());
        } else if (effect instanceof Effect.StartTask t) {
            starts.merge(t.task(), 1, Integer::sum);
            TaskReply reply = new TaskReply.Succeeded(t.spec().body());
            at(nowMs + taskRunMs, () -> handle(node, new EndpointEvent.Replied(t.attempt(), reply)));
        } else if (effect instanceof Effect.ProbeEndpoint p) {
            at(nowMs + LINK_DELAY_MS, () -> handle(node, new EndpointEvent.Probed(p.endpoint(), true)));
        } else if (effect instanceof Effect.Exit) {
            node.exited = true;
        }
    }

    private void send(Node from, Effect.SendPeer effect) {
        Node to = nodes.get(effect.to());
        if (to == null || partitioned.test(from.self.vm(), effect.to()) || dropped.test(effect.message())) {
            return;
        }
        deliver(from, effect);
        if (duplicated.test(effect.message())) {
            deliver(from, effect);
        }
    }

    private void deliver(Node from, Effect.SendPeer effect) {
        at(nowMs + linkDelayMs.getAsLong(), () -> {
            Node receiver = nodes.get(effect.to());
            if (receiver.killed || receiver.exited) {
                handle(from, new PeerEvent.ConnectionRefused(effect.to()));
            } else {
                handle(receiver, new PeerEvent.Received(from.self, effect.message()));
            }
        });
    }

    /** One incarnation of a VM. */
    final class Node {

        final Member self;
        final Core core;
        boolean killed;
        boolean paused;
        boolean exited;
        private final Deque<Event> pausedEvents = new ArrayDeque<>();
        private long timerAtMs = Long.MAX_VALUE;

        Node(Member self) {
            this.self = self;
            DispatcherSettings settings = DispatcherSettings.builder(self, ZONE)
                    .seed(self.incarnation())
                    .build();
            this.core = new Core(settings, e -> perform(this, e), guards);
        }
    }

    private record Step(long atMs, long sequence, Runnable action) {}
}
