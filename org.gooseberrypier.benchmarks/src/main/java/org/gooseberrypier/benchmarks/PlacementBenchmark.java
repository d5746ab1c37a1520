package org.gooseberrypier.benchmarks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.api.Core;
import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.CallerEvent;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.event.LogEvent;
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
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.VmSpec;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the end of a task and the start of the next task in its slot, while all slots are busy and many tasks wait.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
public class PlacementBenchmark {

    private static final int SLOTS = 8;
    private static final int TASKS_PER_JOB = 20;
    private static final int TEAMS = 55;
    private static final int EVENTS_PER_MS = 100;
    private static final long DEADLINE_MS = 60_000;
    private static final ZoneId ZONE = new ZoneId("tartu-a");
    private static final WorkId WORK = new WorkId("verify");
    private static final VmId VM = new VmId("vm-1");
    private static final TaskReply DONE = new TaskReply.Succeeded(Payload.EMPTY);

    /** The number of endpoints. */
    @Param({"30", "5000"})
    private int endpoints;

    /** The number of waiting tasks. */
    @Param({"1000", "100000"})
    private int queued;

    /** The placement policy. */
    @Param({"credits"})
    private String policy;

    private final ArrayDeque<Effect.StartTask> running = new ArrayDeque<>();
    private Core core;
    private long events;
    private long calls;

    /** Fills all slots and the queue. */
    @Setup(Level.Iteration)
    public void fill() {
        running.clear();
        events = 0;
        DispatcherSettings settings = DispatcherSettings.builder(new Member(VM, 1), ZONE)
                .placement(policy)
                .maxQueuedTasks(2 * queued)
                .build();
        core = new Core(settings, this::perform);
        core.handle(ticket(), nowMs());
        while (core.board().queue().tasks() < queued) {
            submit();
        }
    }

    /**
     * Ends the task that started first, after which the core starts another one.
     *
     * @return the number of running tasks
     */
    @Benchmark
    public int endAndStart() {
        if (++events % TASKS_PER_JOB == 0) {
            submit();
        }
        core.handle(new EndpointEvent.Replied(running.poll().attempt(), DONE), nowMs());
        return running.size();
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.StartTask s) {
            running.add(s);
        }
    }

    private long nowMs() {
        return 1_000 + events / EVENTS_PER_MS;
    }

    private void submit() {
        List<TaskSpec> tasks = new ArrayList<>(TASKS_PER_JOB);
        for (int i = 0; i < TASKS_PER_JOB; i++) {
            tasks.add(new TaskSpec("t" + i, Payload.EMPTY, 0, Resources.NONE));
        }
        TeamId team = new TeamId("team-" + ++calls % TEAMS);
        core.handle(
                new CallerEvent.Submitted(
                        calls, new Submission(team, WORK, DEADLINE_MS, false, Optional.empty(), tasks)),
                nowMs());
    }

    private LogEvent.Read ticket() {
        List<EndpointSpec> specs = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            specs.add(new EndpointSpec(
                    new EndpointId("e-" + i),
                    ZONE,
                    "127.0." + i / 250 + "." + (1 + i % 250) + ":8080",
                    Set.of(WORK),
                    SLOTS,
                    SLOTS,
                    Optional.empty(),
                    false));
        }
        Ticket ticket = new Ticket(
                1,
                "t-1",
                "operator",
                "benchmark",
                Optional.of(List.of(new VmSpec(VM, ZONE, "127.1.0.1:9000", false))),
                Optional.of(specs),
                Optional.empty(),
                Optional.empty());
        return new LogEvent.Read(
                StreamId.TICKETS, 0, 0, 1, List.of(new LogRecord(0, 1_000, TicketCodec.format(ticket))));
    }
}
