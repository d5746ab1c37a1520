package org.gooseberrypier.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.ticket.Checkpoint;
import org.gooseberrypier.ticket.CheckpointCodec;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.TicketVerdict;
import org.gooseberrypier.ticket.VmSpec;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the cost of a ticket in the core, as a function of the number of endpoints that the ticket lists. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class TicketSizeBenchmark {

    private static final int ENDPOINTS_PER_ZONE = 500;

    /** The number of endpoints that the ticket lists. */
    @Param({"30", "300", "1000", "5000"})
    private int endpoints;

    private LogRecord record;
    private Configuration configuration;

    /** Creates the ticket. */
    @Setup
    public void setUp() {
        Payload json = TicketCodec.format(ticket(endpoints));
        record = new LogRecord(0, 0, json);
        configuration = configuration(endpoints);
        System.out.println("endpoints=" + endpoints + " ticketBytes=" + json.size() + " checkpointBytes="
                + CheckpointCodec.format(new Checkpoint(0, configuration)).size());
    }

    /**
     * Parses, validates and applies the ticket.
     *
     * @return the verdict
     */
    @Benchmark
    public TicketVerdict verdict() {
        return TicketVerdict.of(Configuration.NONE, record);
    }

    /**
     * Writes the checkpoint of the ticket.
     *
     * @return the checkpoint
     */
    @Benchmark
    public Payload checkpoint() {
        return CheckpointCodec.format(new Checkpoint(0, configuration));
    }

    static Configuration configuration(int count) {
        LogRecord first = new LogRecord(0, 0, TicketCodec.format(ticket(count)));
        return ((TicketVerdict.Accepted) TicketVerdict.of(Configuration.NONE, first)).after();
    }

    private static Ticket ticket(int count) {
        List<EndpointSpec> endpoints = new ArrayList<>();
        List<VmSpec> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ZoneId zone = new ZoneId("zone-" + i / ENDPOINTS_PER_ZONE);
            String address = "10." + i / 62_500 + "." + i / 250 % 250 + "." + (i % 250 + 1);
            endpoints.add(new EndpointSpec(
                    new EndpointId("worker-" + i),
                    zone,
                    address + ":8080",
                    Set.of(new WorkId("verify"), new WorkId("assemble")),
                    8,
                    64,
                    Optional.of(new Resources(64_000, 262_144, 2)),
                    false));
            if (i % ENDPOINTS_PER_ZONE < 2) {
                vms.add(new VmSpec(new VmId("vm-" + i), zone, address + ":7000", false));
            }
        }
        return new Ticket(
                1,
                "t-1",
                "operator",
                "benchmark",
                Optional.of(vms),
                Optional.of(endpoints),
                Optional.empty(),
                Optional.empty());
    }
}
