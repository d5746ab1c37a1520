package org.gooseberrypier.load.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gooseberrypier.pool.ClaimResult;
import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.PoolCore;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.SchedulingPolicy;
import org.gooseberrypier.pool.StartResult;
import org.gooseberrypier.pool.VmIncarnation;

/**
 * Simulates a load under a scheduling policy of the pool in virtual time.
 *
 * <p>One VM owns all emulated endpoints. Each call to an endpoint takes a network delay; the VM and the store have no
 * faults.
 */
public final class PoolExperiment {

    /** A refusal within this time of the arrival counts as immediate. */
    public static final long IMMEDIATE_REFUSAL_MS = 20;

    /** One-way network delay of a call or a reply, as between the users' availability zones. */
    private static final long ONE_WAY_DELAY_MS = 2;

    /** Delay of an answer from the owner through the entry VM to the caller. */
    private static final long ANSWER_DELAY_MS = 3;

    /** Call timeout, tick interval and polling interval of the endpoint list, as VMs use them on the platform. */
    private static final long CALL_TIMEOUT_MS = 300;

    private static final long TICK_INTERVAL_MS = 15;
    private static final long ENDPOINT_POLL_INTERVAL_MS = 400;

    /** Time after the last arrival in which jobs may still be answered. */
    private static final long DRAIN_MS = 6_000;

    /** Delay before the first arrival, after which all endpoints are known. */
    private static final long WARM_UP_MS = 1_000;

    /** One endpoint in this many is faulty, a larger share than in the faults that the users describe. */
    private static final int FAULTY_DIVISOR = 5;

    private static final VmIncarnation SELF = new VmIncarnation("10.1.0.1:1", "zone", 1, 1_000);

    private final PoolLoad load;
    private final long lengthMs;
    private final int faultyCount;
    private final List<PoolArrival> arrivals;
    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<EmulatedEndpoint> endpoints = new ArrayList<>();
    private final Map<String, EmulatedEndpoint> byId = new HashMap<>();
    private final Map<String, SubmittedJob> submittedJobs = new LinkedHashMap<>();
    private final PoolCore core;
    private int starts;
    private int doneTasks;

    /** The state of one submitted job. */
    private static final class SubmittedJob {
        private final PoolArrival arrival;
        private JobOutcome outcome;
        private long answeredMs;
        private long lastStartMs;
        private int starts;

        SubmittedJob(PoolArrival arrival) {
            this.arrival = arrival;
        }
    }

    private PoolExperiment(Builder builder) {
        load = builder.load;
        lengthMs = (long) (builder.seconds * 1_000);
        faultyCount = builder.endpoints / FAULTY_DIVISOR;
        arrivals = PoolArrival.generate(load, lengthMs, builder.seed);
        for (int i = 0; i < builder.endpoints; i++) {
            EmulatedEndpoint e = new EmulatedEndpoint(time, i);
            endpoints.add(e);
            byId.put(e.registration.id(), e);
        }
        core = new PoolCore(SELF, builder.policy, 1, 0, this::perform);
    }

    /**
     * Creates a builder.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    private ExperimentResult simulate() {
        readOwnership();
        tick();
        pollEndpoints();
        long number = 0;
        for (PoolArrival a : arrivals) {
            long call = ++number;
            time.scheduleAt(WARM_UP_MS + a.arrivalMs(), () -> submit(call, a));
        }
        time.scheduleAt(WARM_UP_MS + lengthMs / 3, () -> setFault(load.fault()));
        time.scheduleAt(WARM_UP_MS + 2 * lengthMs / 3, () -> setFault(PoolLoad.Fault.NONE));
        time.runUntil(WARM_UP_MS + lengthMs + DRAIN_MS);
        return summarize();
    }

    private void submit(long call, PoolArrival a) {
        submittedJobs.put(a.job().id(), new SubmittedJob(a));
        handle(new PoolEvent.JobSubmitted(call, a.job(), PoolEvent.JobSubmitted.UNLIMITED));
        if (!a.isCounted()) {
            time.scheduleAfter(a.disconnectAfterMs(), () -> handle(new PoolEvent.CallerDisconnected(call)));
        }
    }

    private void setFault(PoolLoad.Fault fault) {
        for (EmulatedEndpoint e : endpoints.subList(0, faultyCount)) {
            e.fault = fault;
            if (fault == PoolLoad.Fault.CRASHED) {
                e.crash();
            }
        }
    }

    private void handle(PoolEvent event) {
        core.handle(event, time.nowMs());
    }

    private void handleAfter(long ms, PoolEvent event) {
        time.scheduleAfter(ms, () -> handle(event));
    }

    private void tick() {
        handle(new PoolEvent.Tick());
        time.scheduleAfter(TICK_INTERVAL_MS, this::tick);
    }

    private void pollEndpoints() {
        List<PoolEndpoint> list = endpoints.stream().map(e -> e.registration).toList();
        handleAfter(2 * ONE_WAY_DELAY_MS, new PoolEvent.EndpointsRead(list, time.nowMs()));
        time.scheduleAfter(ENDPOINT_POLL_INTERVAL_MS, this::pollEndpoints);
    }

    private void readOwnership() {
        handleAfter(2 * ONE_WAY_DELAY_MS, new PoolEvent.OwnershipRead(0, Optional.empty(), time.nowMs()));
    }

    private void perform(PoolEffect effect) {
        if (effect instanceof PoolEffect.Claim c) {
            handleAfter(
                    2 * ONE_WAY_DELAY_MS,
                    new PoolEvent.ClaimEnded(c.owner(), new ClaimResult.Accepted(c.expectedOffset())));
        } else if (effect instanceof PoolEffect.Answer a) {
            SubmittedJob p = submittedJobs.get(a.job());
            p.outcome = a.outcome();
            p.answeredMs = time.nowMs() + ANSWER_DELAY_MS;
        } else if (effect instanceof PoolEffect.RenewLeases h) {
            renewLeases(h);
        } else if (effect instanceof PoolEffect.Start s) {
            start(s);
        } else if (effect instanceof PoolEffect.Stop s) {
            EmulatedEndpoint e = byId.get(s.endpoint().id());
            time.scheduleAfter(ONE_WAY_DELAY_MS, () -> {
                boolean answered = e.isReachable();
                if (answered) {
                    e.stop(s.run());
                }
                handleAfter(answered ? ONE_WAY_DELAY_MS : CALL_TIMEOUT_MS, new PoolEvent.StopEnded(s, answered));
            });
        }
    }

    private void renewLeases(PoolEffect.RenewLeases h) {
        EmulatedEndpoint e = byId.get(h.endpoint().id());
        time.scheduleAfter(ONE_WAY_DELAY_MS, () -> {
            if (e.isReachable()) {
                e.renewLeases(h, r -> handleAfter(ONE_WAY_DELAY_MS, new PoolEvent.LeaseRenewalEnded(h, r)));
            } else {
                handleAfter(
                        CALL_TIMEOUT_MS,
                        new PoolEvent.LeaseRenewalEnded(
                                h, new LeaseRenewalResult.Unanswered("the endpoint does not answer")));
            }
        });
    }

    private void start(PoolEffect.Start s) {
        EmulatedEndpoint e = byId.get(s.endpoint().id());
        SubmittedJob p = submittedJobs.get(s.run().job());
        starts++;
        p.starts++;
        p.lastStartMs = time.nowMs();
        time.scheduleAfter(ONE_WAY_DELAY_MS, () -> {
            if (e.isReachable()) {
                handleAfter(ONE_WAY_DELAY_MS, new PoolEvent.StartEnded(s, e.start(s, p.arrival)));
            } else {
                handleAfter(CALL_TIMEOUT_MS, new PoolEvent.StartEnded(s, StartResult.UNANSWERED));
            }
        });
    }

    private ExperimentResult summarize() {
        ExperimentTally tally = new ExperimentTally();
        for (SubmittedJob p : submittedJobs.values()) {
            boolean completed = p.outcome instanceof JobOutcome.Completed;
            doneTasks += completed ? p.arrival.job().tasks() : 0;
            if (p.arrival.isCounted()) {
                long responseMs = p.answeredMs - WARM_UP_MS - p.arrival.arrivalMs();
                tally.add(p.arrival, completed ? p.arrival.payoffAfter(responseMs) : 0, loss(p));
                if (p.outcome instanceof JobOutcome.Refused) {
                    tally.addRefusal(responseMs);
                }
            }
        }
        double upperBound = PayoffUpperBound.of(load, arrivals, endpoints, faultyCount, lengthMs);
        return tally.result(upperBound, starts - doneTasks);
    }

    private ExperimentResult.Loss loss(SubmittedJob p) {
        if (p.outcome instanceof JobOutcome.Refused) {
            return ExperimentResult.Loss.REFUSED;
        }
        if (p.starts > p.arrival.job().tasks()) {
            return ExperimentResult.Loss.FAULT;
        }
        double fastest =
                endpoints.stream().mapToDouble(e -> e.durationFactor).min().orElse(1);
        double startedMs = p.lastStartMs - WARM_UP_MS - p.arrival.arrivalMs();
        boolean tooLate = startedMs + fastest * p.arrival.workMs() > p.arrival.objectiveMs();
        return tooLate ? ExperimentResult.Loss.WAITED : ExperimentResult.Loss.PLACED;
    }

    /** Configures an experiment. */
    public static final class Builder {

        private PoolLoad load = PoolLoad.ALL.get(0);
        private SchedulingPolicy policy = SchedulingPolicy.DEFAULT;
        private int endpoints = 33;
        private double seconds = 30;
        private long seed = 1;

        private Builder() {}

        /**
         * Sets the load; the default is the nominal load.
         *
         * @param value the load
         * @return this builder
         */
        public Builder load(PoolLoad value) {
            load = value;
            return this;
        }

        /**
         * Sets the scheduling policy; the default is {@link SchedulingPolicy#DEFAULT}.
         *
         * @param value the scheduling policy
         * @return this builder
         */
        public Builder policy(SchedulingPolicy value) {
            policy = value;
            return this;
        }

        /**
         * Sets the number of endpoints; the default is 33, as in the smaller of the users' sheets.
         *
         * @param value the number of endpoints, at least 1
         * @return this builder
         */
        public Builder endpoints(int value) {
            endpoints = value;
            return this;
        }

        /**
         * Sets the time in which jobs arrive; the default is 30 seconds.
         *
         * @param value seconds of virtual time
         * @return this builder
         */
        public Builder seconds(double value) {
            seconds = value;
            return this;
        }

        /**
         * Sets the seed of the arrivals.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Runs the experiment.
         *
         * @return its results
         */
        public ExperimentResult call() {
            return new PoolExperiment(this).simulate();
        }
    }
}
