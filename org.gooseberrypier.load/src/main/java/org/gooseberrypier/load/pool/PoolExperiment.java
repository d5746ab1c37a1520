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
 * Plays a load against the rules of the pool in virtual time: one VM that owns emulated endpoints, with the delay of each
 * order, without faults of the VM or the store.
 */
public final class PoolExperiment {

    /** A refusal within this time of the arrival counts as at once, in milliseconds. */
    public static final long IMMEDIATE_REFUSAL_MS = 20;

    /** One way of an order or an answer, in milliseconds: between the users' zones. */
    private static final long WAY_MS = 2;

    /** From the owner by the entry VM to the caller, in milliseconds. */
    private static final long CALLER_MS = 3;

    /** As VMs do it on the platform, in milliseconds: time-out of a call, timers, reads of the list of endpoints. */
    private static final long CALL_TIMEOUT_MS = 300;

    private static final long TICK_MS = 15;
    private static final long READ_MS = 400;

    /** How long jobs that came last may still be answered, in milliseconds. */
    private static final long AFTER_MS = 6_000;

    /** Endpoints are known by then, in milliseconds. */
    private static final long WARM_UP_MS = 1_000;

    /** A fifth of the endpoints is faulty, more than the users' troubles have. */
    private static final int FAULTY_PART = 5;

    private static final VmIncarnation SELF = new VmIncarnation("10.1.0.1:1", "zone", 1, 1_000);

    private final PoolLoad load;
    private final long lengthMs;
    private final int faulty;
    private final List<PoolArrival> arrivals;
    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<EmulatedEndpoint> endpoints = new ArrayList<>();
    private final Map<String, EmulatedEndpoint> byId = new HashMap<>();
    private final Map<String, Play> plays = new LinkedHashMap<>();
    private final PoolCore core;
    private int starts;
    private int done;

    /** One job in play. */
    private static final class Play {
        private final PoolArrival arrival;
        private JobOutcome outcome;
        private long answeredMs;
        private long lastStartMs;
        private int starts;

        Play(PoolArrival arrival) {
            this.arrival = arrival;
        }
    }

    private PoolExperiment(Builder builder) {
        load = builder.load;
        lengthMs = (long) (builder.seconds * 1_000);
        faulty = builder.endpoints / FAULTY_PART;
        arrivals = PoolArrival.generate(load, lengthMs, builder.seed);
        for (int i = 0; i < builder.endpoints; i++) {
            EmulatedEndpoint e = new EmulatedEndpoint(time, i);
            endpoints.add(e);
            byId.put(e.registration.id(), e);
        }
        core = new PoolCore(SELF, builder.rules, 1, 0, this::perform);
    }

    /**
     * Starts a builder.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    private ExperimentResult play() {
        readOwnership();
        tick();
        read();
        long number = 0;
        for (PoolArrival a : arrivals) {
            long call = ++number;
            time.scheduleAt(WARM_UP_MS + a.arrivalMs(), () -> submit(call, a));
        }
        time.scheduleAt(WARM_UP_MS + lengthMs / 3, () -> setFault(load.fault()));
        time.scheduleAt(WARM_UP_MS + 2 * lengthMs / 3, () -> setFault(PoolLoad.Fault.NONE));
        time.runUntil(WARM_UP_MS + lengthMs + AFTER_MS);
        return judge();
    }

    private void submit(long call, PoolArrival a) {
        plays.put(a.job().id(), new Play(a));
        handle(new PoolEvent.JobSubmitted(call, a.job()));
        if (!a.isCounted()) {
            time.scheduleAfter(a.disconnectAfterMs(), () -> handle(new PoolEvent.CallerDisconnected(call)));
        }
    }

    private void setFault(PoolLoad.Fault fault) {
        for (EmulatedEndpoint e : endpoints.subList(0, faulty)) {
            e.fault = fault;
            if (fault == PoolLoad.Fault.CRASHED) {
                e.crash();
            }
        }
    }

    private void handle(PoolEvent event) {
        core.handle(event, time.nowMs());
    }

    private void later(long ms, PoolEvent event) {
        time.scheduleAfter(ms, () -> handle(event));
    }

    private void tick() {
        handle(new PoolEvent.Tick());
        time.scheduleAfter(TICK_MS, this::tick);
    }

    private void read() {
        List<PoolEndpoint> list = endpoints.stream().map(e -> e.registration).toList();
        later(2 * WAY_MS, new PoolEvent.EndpointsRead(list, time.nowMs()));
        time.scheduleAfter(READ_MS, this::read);
    }

    private void readOwnership() {
        later(2 * WAY_MS, new PoolEvent.OwnershipRead(0, Optional.empty(), time.nowMs()));
    }

    private void perform(PoolEffect effect) {
        if (effect instanceof PoolEffect.Claim c) {
            later(2 * WAY_MS, new PoolEvent.ClaimEnded(c.owner(), new ClaimResult.Accepted(c.expectedOffset())));
        } else if (effect instanceof PoolEffect.Answer a) {
            Play p = plays.get(a.job());
            p.outcome = a.outcome();
            p.answeredMs = time.nowMs() + CALLER_MS;
        } else if (effect instanceof PoolEffect.RenewLeases h) {
            hold(h);
        } else if (effect instanceof PoolEffect.Start s) {
            start(s);
        } else if (effect instanceof PoolEffect.Stop s) {
            EmulatedEndpoint e = byId.get(s.endpoint().id());
            time.scheduleAfter(WAY_MS, () -> {
                boolean answered = e.isReachable();
                if (answered) {
                    e.stop(s.run());
                }
                later(answered ? WAY_MS : CALL_TIMEOUT_MS, new PoolEvent.StopEnded(s, answered));
            });
        }
    }

    private void hold(PoolEffect.RenewLeases h) {
        EmulatedEndpoint e = byId.get(h.endpoint().id());
        time.scheduleAfter(WAY_MS, () -> {
            if (e.isReachable()) {
                e.renewLeases(h, r -> later(WAY_MS, new PoolEvent.LeaseRenewalEnded(h, r)));
            } else {
                later(
                        CALL_TIMEOUT_MS,
                        new PoolEvent.LeaseRenewalEnded(h, new LeaseRenewalResult.Unanswered("the endpoint is gone")));
            }
        });
    }

    private void start(PoolEffect.Start s) {
        EmulatedEndpoint e = byId.get(s.endpoint().id());
        Play p = plays.get(s.run().job());
        starts++;
        p.starts++;
        p.lastStartMs = time.nowMs();
        time.scheduleAfter(WAY_MS, () -> {
            if (e.isReachable()) {
                later(WAY_MS, new PoolEvent.StartEnded(s, e.start(s, p.arrival)));
            } else {
                later(CALL_TIMEOUT_MS, new PoolEvent.StartEnded(s, StartResult.UNANSWERED));
            }
        });
    }

    private ExperimentResult judge() {
        ExperimentTally tally = new ExperimentTally();
        for (Play p : plays.values()) {
            boolean completed = p.outcome instanceof JobOutcome.Completed;
            done += completed ? p.arrival.job().tasks() : 0;
            if (p.arrival.isCounted()) {
                long tookMs = p.answeredMs - WARM_UP_MS - p.arrival.arrivalMs();
                tally.add(p.arrival, completed ? p.arrival.payoffAfter(tookMs) : 0, loss(p));
                if (p.outcome instanceof JobOutcome.Refused) {
                    tally.addRefusal(tookMs);
                }
            }
        }
        double reference = PayoffUpperBound.of(load, arrivals, endpoints, faulty, lengthMs);
        return tally.result(reference, starts - done);
    }

    private ExperimentResult.Loss loss(Play p) {
        if (p.outcome instanceof JobOutcome.Refused) {
            return ExperimentResult.Loss.REFUSED;
        }
        if (p.starts > p.arrival.job().tasks()) {
            return ExperimentResult.Loss.FAULT;
        }
        double fastest =
                endpoints.stream().mapToDouble(e -> e.durationFactor).min().orElse(1);
        double startedMs = p.lastStartMs - WARM_UP_MS - p.arrival.arrivalMs();
        boolean late = startedMs + fastest * p.arrival.workMs() > p.arrival.objectiveMs();
        return late ? ExperimentResult.Loss.WAITED : ExperimentResult.Loss.PLACED;
    }

    /** Says what is played. */
    public static final class Builder {

        private PoolLoad load = PoolLoad.ALL.get(0);
        private SchedulingPolicy rules = SchedulingPolicy.DEFAULT;
        private int endpoints = 33;
        private double seconds = 30;
        private long seed = 1;

        private Builder() {}

        /**
         * Sets the load, the usual one otherwise.
         *
         * @param value the load
         * @return this builder
         */
        public Builder load(PoolLoad value) {
            load = value;
            return this;
        }

        /**
         * Sets the rules, the default ones otherwise.
         *
         * @param value the rules
         * @return this builder
         */
        public Builder policy(SchedulingPolicy value) {
            rules = value;
            return this;
        }

        /**
         * Sets how many endpoints there are, 33 as on the smaller sheets otherwise.
         *
         * @param value how many, at least 1
         * @return this builder
         */
        public Builder endpoints(int value) {
            endpoints = value;
            return this;
        }

        /**
         * Sets how long jobs arrive.
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
         * Plays the load.
         *
         * @return what it earned
         */
        public ExperimentResult call() {
            return new PoolExperiment(this).play();
        }
    }
}
