package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gooseberrypier.api.Core;
import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.CallerEvent;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.PlacementMessage;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.VmSpec;

/**
 * Simulates several cores and their endpoints on one thread and virtual time.
 *
 * <p>Endpoints have slots and a speed. Messages take 1 or 2 ms in one direction.
 */
final class CoreSimulation {

    private static final long HEARTBEAT_MS = 500;

    final Map<VmId, Core> cores = new TreeMap<>();
    final Map<EndpointId, FakeEndpoint> endpoints = new LinkedHashMap<>();
    final Map<Object, Integer> startsByTask = new HashMap<>();
    final List<Double> slowdowns = new ArrayList<>();
    final Map<String, Integer> messagesByKind = new TreeMap<>();
    final Map<Long, Answer> answers = new HashMap<>();
    final UniformRandomProvider random;
    double lossProbability;
    long nowMs = 1_000_000;
    int refusedByEndpoints;
    int placementMessages;
    private final Map<VmId, VmSpec> vms = new TreeMap<>();
    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>();
    private long sequence;
    private long lastCallId;
    private long lastTicketNumber;

    CoreSimulation(String policy, long seed, Collection<VmSpec> specs) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (VmSpec v : specs) {
            vms.put(v.id(), v);
            DispatcherSettings settings = DispatcherSettings.builder(new Member(v.id(), 1), v.zone())
                    .placement(policy)
                    .seed(seed + vms.size())
                    .build();
            cores.put(v.id(), new Core(settings, e -> handleEffect(v.id(), e)));
        }
        schedule(0, this::heartbeat);
    }

    /** Publishes a ticket with all VMs and the given endpoints; every VM reads it immediately. */
    void publishTicket(Collection<EndpointSpec> specs) {
        lastTicketNumber++;
        Ticket t = new Ticket(
                lastTicketNumber,
                "t-" + lastTicketNumber,
                "operator",
                "test",
                java.util.Optional.of(List.copyOf(vms.values())),
                java.util.Optional.of(List.copyOf(specs)),
                java.util.Optional.empty(),
                java.util.Optional.empty());
        LogRecord r = new LogRecord(lastTicketNumber - 1, nowMs, TicketCodec.format(t));
        specs.forEach(s -> endpoints.computeIfAbsent(s.id(), id -> new FakeEndpoint(s)).spec = s);
        cores.values()
                .forEach(c -> c.handle(
                        new LogEvent.Read(StreamId.TICKETS, lastTicketNumber - 1, 0, lastTicketNumber, List.of(r)),
                        nowMs));
    }

    long submit(VmId vm, Submission s) {
        long call = ++lastCallId;
        deliver(vm, new CallerEvent.Submitted(call, s));
        return call;
    }

    void kill(VmId vm) {
        cores.remove(vm);
        cores.keySet().forEach(other -> deliver(other, new PeerEvent.LinkDown(vm)));
    }

    void schedule(long delayMs, Runnable action) {
        scheduledActions.add(new ScheduledAction(nowMs + delayMs, sequence++, action));
    }

    void run(long durationMs) {
        long endMs = nowMs + durationMs;
        while (true) {
            Core next = null;
            long atMs = scheduledActions.isEmpty() ? Long.MAX_VALUE : scheduledActions.peek().atMs;
            for (Core c : cores.values()) {
                if (c.nextTimerAtMs() < atMs) {
                    atMs = c.nextTimerAtMs();
                    next = c;
                }
            }
            if (atMs > endMs) {
                nowMs = endMs;
                return;
            }
            nowMs = Math.max(nowMs, atMs);
            if (next != null) {
                next.advance(nowMs);
            } else {
                scheduledActions.poll().action.run();
            }
        }
    }

    long count(Counter counter) {
        return cores.values().stream()
                .mapToLong(c -> c.board().counters().get(counter))
                .sum();
    }

    double meanSlowdown() {
        return slowdowns.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    double slowdownQuantile(double quantile) {
        List<Double> sorted = new ArrayList<>(slowdowns);
        sorted.sort(null);
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    private void deliver(VmId vm, Event event) {
        Core c = cores.get(vm);
        if (c != null) {
            c.handle(event, nowMs);
        }
    }

    private void heartbeat() {
        for (VmId from : cores.keySet()) {
            for (VmId to : cores.keySet()) {
                if (!from.equals(to)) {
                    Member sender = new Member(from, 1);
                    schedule(
                            1,
                            () -> deliver(
                                    to,
                                    new PeerEvent.Received(
                                            sender,
                                            new MembershipMessage.Heartbeat(1, lastTicketNumber, true, nowMs))));
                }
            }
        }
        schedule(HEARTBEAT_MS, this::heartbeat);
    }

    private void handleEffect(VmId vm, Effect effect) {
        if (effect instanceof Effect.StartTask s) {
            schedule(1, () -> startTask(vm, s));
        } else if (effect instanceof Effect.SendPeer p && p.message() instanceof PlacementMessage) {
            placementMessages++;
            messagesByKind.merge(p.message().getClass().getSimpleName(), 1, Integer::sum);
            boolean sameZone = vms.get(vm).zone().equals(vms.get(p.to()).zone());
            if (random.nextDouble() >= lossProbability) {
                schedule(
                        sameZone ? 1 : 2,
                        () -> deliver(p.to(), new PeerEvent.Received(new Member(vm, 1), p.message())));
            }
        } else if (effect instanceof Effect.ProbeEndpoint p) {
            schedule(1, () -> deliver(vm, new EndpointEvent.Probed(p.endpoint(), true)));
        } else if (effect instanceof Effect.AnswerCaller a) {
            answers.put(a.call(), a.answer());
        }
    }

    private void startTask(VmId vm, Effect.StartTask s) {
        FakeEndpoint e = endpoints.get(s.endpoint());
        if (e.running >= e.spec.slots()) {
            refusedByEndpoints++;
            schedule(1, () -> deliver(vm, new EndpointEvent.Replied(s.attempt(), new TaskReply.NotStarted("full"))));
            return;
        }
        startsByTask.merge(s.task(), 1, Integer::sum);
        e.running++;
        e.started++;
        long runMs = Math.max(1, Math.round(s.spec().declaredMs() * e.slowdown));
        schedule(runMs, () -> {
            e.running--;
            TaskReply reply = e.failing ? new TaskReply.Failed(500, "broken") : new TaskReply.Succeeded(Payload.EMPTY);
            schedule(1, () -> deliver(vm, new EndpointEvent.Replied(s.attempt(), reply)));
        });
        long waitMs = nowMs - Long.parseLong(s.spec().id());
        slowdowns.add((waitMs + runMs) / (double) runMs);
    }

    /** An endpoint that refuses tasks beyond its slots. */
    static final class FakeEndpoint {
        EndpointSpec spec;
        double slowdown = 1;
        boolean failing;
        int running;
        int started;

        FakeEndpoint(EndpointSpec spec) {
            this.spec = spec;
        }
    }

    private record ScheduledAction(long atMs, long order, Runnable action) implements Comparable<ScheduledAction> {

        @Override
        public int compareTo(ScheduledAction other) {
            int c = Long.compare(atMs, other.atMs);
            return c != 0 ? c : Long.compare(order, other.order);
        }
    }

    static ZoneId zone(int i) {
        return new ZoneId("zone-" + i);
    }
}
