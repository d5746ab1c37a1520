package org.gooseberrypier.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.api.Core;
import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.CallerEvent;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.TicketMessage;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.TeamSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.VmSpec;

/** Runs one core on virtual time; the test supplies its tickets, submissions and endpoint replies. */
final class Fixture {

    static final ZoneId ZONE = new ZoneId("tartu-a");
    static final WorkId WORK = new WorkId("verify");
    static final TeamId TEAM = new TeamId("tartu");
    static final VmId VM = new VmId("vm-1");
    static final TaskReply DONE = new TaskReply.Succeeded(Payload.EMPTY);

    final List<Effect> effects = new ArrayList<>();
    final Core core;
    long nowMs = 1_000;
    private long lastTicketNumber;
    private long lastCallId;

    Fixture(String policy) {
        this(DispatcherSettings.builder(new Member(VM, 1), ZONE).placement(policy));
    }

    Fixture(DispatcherSettings.Builder settings) {
        core = new Core(settings.build(), effects::add);
    }

    static EndpointSpec endpoint(String name, int slots) {
        return new EndpointSpec(
                new EndpointId(name),
                ZONE,
                address("127.0.1.1", name),
                Set.of(WORK),
                slots,
                Math.max(64, slots),
                Optional.empty(),
                false);
    }

    static EndpointSpec leaving(EndpointSpec e) {
        return new EndpointSpec(
                e.id(), e.zone(), e.address(), e.works(), e.slots(), e.connections(), e.capacity(), true);
    }

    private static String address(String host, String name) {
        return host + ":" + (1 + Math.floorMod(name.hashCode(), 65_535));
    }

    static VmSpec vm(String name) {
        return new VmSpec(new VmId(name), ZONE, address("127.0.1.2", name), false);
    }

    static TaskSpec task(int i) {
        return new TaskSpec("t" + i, Payload.of("x"), 0, Resources.NONE);
    }

    static Submission job(TeamId team, int tasks, long deadlineMs, boolean repeatable) {
        List<TaskSpec> list = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            list.add(task(i));
        }
        return new Submission(team, WORK, deadlineMs, repeatable, Optional.empty(), list);
    }

    static Submission job(int tasks) {
        return job(TEAM, tasks, 60_000, false);
    }

    Fixture applyTicket(List<VmSpec> vms, List<TeamSpec> teams, EndpointSpec... endpoints) {
        read(List.of(record(vms, teams, List.of(endpoints))));
        return this;
    }

    Fixture receiveHeartbeat(Member peer) {
        core.handle(new PeerEvent.Received(peer, new MembershipMessage.Heartbeat(0, lastTicketNumber, true, 0)), nowMs);
        return this;
    }

    /** Delivers the next ticket to the core in a message from a peer. */
    Fixture receiveTicket(Member peer, List<VmSpec> vms, EndpointSpec... endpoints) {
        String last = "t-" + lastTicketNumber;
        LogRecord record = record(vms, List.of(), List.of(endpoints));
        core.handle(new PeerEvent.Received(peer, new TicketMessage.Spread(last, List.of(record))), nowMs);
        return this;
    }

    private LogRecord record(List<VmSpec> vms, List<TeamSpec> teams, List<EndpointSpec> endpoints) {
        lastTicketNumber++;
        Ticket t = new Ticket(
                lastTicketNumber,
                "t-" + lastTicketNumber,
                "operator",
                "test",
                Optional.of(vms),
                Optional.of(endpoints),
                Optional.of(teams),
                Optional.empty());
        return new LogRecord(lastTicketNumber - 1, nowMs, TicketCodec.format(t));
    }

    private void read(List<LogRecord> records) {
        long first = records.get(0).offset();
        core.handle(new LogEvent.Read(StreamId.TICKETS, first, 0, lastTicketNumber, records), nowMs);
    }

    Fixture applyTicket(EndpointSpec... endpoints) {
        return applyTicket(List.of(vm("vm-1")), List.of(), endpoints);
    }

    long submit(Submission s) {
        core.handle(new CallerEvent.Submitted(++lastCallId, s), nowMs);
        return lastCallId;
    }

    void reply(Effect.StartTask start, TaskReply reply) {
        core.handle(new EndpointEvent.Replied(start.attempt(), reply), nowMs);
    }

    void advanceMs(long ms) {
        nowMs += ms;
        core.advance(nowMs);
    }

    <E extends Effect> List<E> takeEffects(Class<E> type) {
        List<E> taken = effectsOf(type);
        effects.removeAll(taken);
        return taken;
    }

    <E extends Effect> List<E> effectsOf(Class<E> type) {
        return new ArrayList<>(
                effects.stream().filter(type::isInstance).map(type::cast).toList());
    }

    List<Effect.StartTask> takeStarts() {
        return takeEffects(Effect.StartTask.class);
    }

    EndpointState endpointState(String endpoint) {
        return core.board().endpoints().states().get(new EndpointId(endpoint));
    }

    long count(Counter counter) {
        return core.board().counters().get(counter);
    }
}
