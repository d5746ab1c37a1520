package org.gooseberrypier.server.pool;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.internal.engine.EventRing;
import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolConfiguration;
import org.gooseberrypier.pool.PoolCore;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.VmIncarnation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one VM of the pool: the core on a thread of its own, and the clients and servers that perform its effects. */
public final class PoolVm implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PoolVm.class);
    /** Capacity of the event ring; the ring requires a power of two. */
    private static final int RING_SIZE = 1 << 13;

    /** Interval at which an owner runs its timers, in milliseconds; its lease renewals and refusals depend on it. */
    private static final long OWNER_TICK_INTERVAL_MS = 15;

    /** Interval at which a VM that is not the owner runs its timers, in milliseconds. */
    private static final long FOLLOWER_TICK_INTERVAL_MS = 40;

    /**
     * Time for which ticks of a VM that is not the owner are skipped at most while its event loop is blocked, in
     * milliseconds. Such a VM does not receive the owner's and the store's messages and would take both for lost.
     */
    private static final long MAX_FOLLOWER_TICK_DELAY_MS = 1_500;

    /** Long-poll timeout of a read of the ownership, in milliseconds; below the core's timeout for a silent store. */
    private static final long OWNERSHIP_POLL_TIMEOUT_MS = 350;

    /** Long-poll timeout of a read of the configuration, in milliseconds. */
    private static final long CONFIGURATION_POLL_TIMEOUT_MS = 700;

    /**
     * Threshold for a change of the offset between the wall clock and the monotonic clock, in milliseconds; a greater
     * change indicates a pause of the VM or a step of the wall clock, smaller ones are usual clock corrections.
     */
    private static final long CLOCK_JUMP_THRESHOLD_MS = 150;

    private final VmIncarnation self;
    private final PoolCore core;
    private final EventRing<PoolEvent> ring;
    private final EntryLinks entries;
    private final EndpointListPoller endpointList;
    private final EffectPerformer effects;
    private final StorePoller<?> ownership;
    private final StorePoller<?> configurations;
    private final OpenCalls calls = new OpenCalls();
    private final CompletableFuture<Throwable> fatalError = new CompletableFuture<>();
    private volatile Optional<PoolConfiguration> configuration = Optional.empty();
    private volatile boolean hasOwner;
    private long nextTickAtMs;
    private long tickedAtMs = nowMs();
    private long clockOffsetMs = System.currentTimeMillis() - nowMs();

    private PoolVm(Builder builder) {
        EventLoopGroup group = builder.group;
        PoolStore store = builder.store;
        PoolMeters meters = new PoolMeters(builder.registry);
        ring = new EventRing<>(
                "pool-core", RING_SIZE, this::handle, this::tick, this::nextTickDelayMs, this::stopOnError);
        entries = new EntryLinks(builder.address, group, ring::publish);
        self = new VmIncarnation(
                entries.address().toString(),
                builder.zone,
                ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE),
                builder.milliCores);
        endpointList = new EndpointListPoller(store, ring::publish);
        effects = new EffectPerformer(
                self,
                new EffectPerformer.Clients(group, store, builder.endpoints, entries, endpointList),
                calls,
                meters,
                ring::publish);
        core = new PoolCore(self, builder.remotePenalty, nowMs(), effects::perform);
        meters.gauge("owner", "Whether this VM owns endpoints", endpointList::isOwner);
        meters.gauge("linked", "Whether jobs can be handed to an owner", () -> hasOwner);
        ownership = new StorePoller<>(
                "ownership",
                group,
                OWNERSHIP_POLL_TIMEOUT_MS,
                store::readOwnership,
                (page, requestedAtMs) ->
                        ring.publish(new PoolEvent.OwnershipRead(page.nextOffset(), page.newest(), requestedAtMs)));
        configurations = new StorePoller<PoolConfiguration>(
                "configuration",
                group,
                CONFIGURATION_POLL_TIMEOUT_MS,
                store::readConfiguration,
                (page, requestedAtMs) -> page.newest().ifPresent(this::updateConfiguration));
    }

    /**
     * Creates a builder.
     *
     * @param group the event loops of all connections
     * @return the builder
     */
    public static Builder builder(EventLoopGroup group) {
        return new Builder(group);
    }

    private void start() {
        ring.start();
        ownership.start();
        configurations.start();
        LOG.info("event=started address={} zone={} incarnation={}", self.address(), self.zone(), self.incarnation());
    }

    /** Handle of a job that a caller submitted to this VM. */
    public final class Submission {

        private final OpenCalls.Call call;

        private Submission(OpenCalls.Call call) {
            this.call = call;
        }

        /**
         * Returns the outcome of the job.
         *
         * @return completed when the job has ended
         */
        public CompletableFuture<JobOutcome> outcome() {
            return call.outcome();
        }

        /** Reports that the caller has disconnected; the outcome is no longer needed. */
        public void abandon() {
            if (calls.remove(call.number()).isPresent()) {
                ring.publish(new PoolEvent.CallerDisconnected(call.number()));
            }
        }
    }

    /**
     * Submits a job.
     *
     * @param job the job
     * @param patienceMs how long the caller waits for the outcome since it sent its request, in milliseconds, or
     *     {@link PoolEvent.JobSubmitted#UNLIMITED}; the job ends after that
     * @param arrivedNanos the earliest time at which the caller's request may have arrived, by {@link System#nanoTime}
     * @return the submission
     */
    public Submission submit(PoolJob job, long patienceMs, long arrivedNanos) {
        OpenCalls.Call call = calls.open(job.id());
        ring.publish(new PoolEvent.JobSubmitted(
                call.number(), job, patienceMs, TimeUnit.NANOSECONDS.toMillis(arrivedNanos)));
        return new Submission(call);
    }

    /**
     * Cancels a job of a caller of this VM.
     *
     * @param job the job's identifier
     */
    public void cancel(String job) {
        ring.publish(new PoolEvent.JobCancelled(job));
    }

    /**
     * Returns whether a caller of this VM waits for a job.
     *
     * @param job the job's identifier
     * @return whether at least one call waits for the job
     */
    public boolean isInFlight(String job) {
        return calls.isInFlight(job);
    }

    /**
     * Returns how many jobs in a queue wait without a started task.
     *
     * @param queue the queue
     * @return the number of jobs
     */
    public int waitingJobs(String queue) {
        return core.waitingJobs(queue);
    }

    /**
     * Returns the address on which this VM listens for other VMs.
     *
     * @return the address, with the actual port if the VM was opened with port 0
     */
    public HostPort address() {
        return entries.address();
    }

    /**
     * Returns the operators' configuration.
     *
     * @return the newest known configuration, if any
     */
    public Optional<PoolConfiguration> configuration() {
        return configuration;
    }

    /**
     * Returns whether this VM can serve jobs.
     *
     * @return whether a configuration and an owner are known
     */
    public boolean isReady() {
        return configuration.isPresent() && hasOwner;
    }

    /**
     * Returns the error that stopped the core of this VM: a violated invariant, or an error of the JVM. Failures of I/O do
     * not stop it, since they reach the core as events.
     *
     * @return completed with the error; never completed if there is none
     */
    public CompletableFuture<Throwable> fatalError() {
        return fatalError;
    }

    /** Starts to hand over the ownership if this VM is the owner; jobs in flight continue. */
    public void beginStop() {
        ring.publish(new PoolEvent.StopRequested());
    }

    /** Stops without waiting for jobs in flight. */
    @Override
    public void close() {
        ownership.close();
        configurations.close();
        effects.close();
        entries.close();
        ring.close();
    }

    static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void handle(PoolEvent event, boolean endOfBatch) {
        checkClocks();
        core.handle(event, nowMs(), !endOfBatch);
        runDueTimers();
    }

    private void tick() {
        checkClocks();
        runDueTimers();
    }

    /**
     * Detects pauses of the VM: the wall clock advances during a pause, the monotonic clock does not. A step of the
     * wall clock is treated as a pause, since the two cannot be told apart.
     */
    private void checkClocks() {
        long offsetMs = System.currentTimeMillis() - nowMs();
        long jumpMs = Math.abs(offsetMs - clockOffsetMs);
        clockOffsetMs = offsetMs;
        if (jumpMs > CLOCK_JUMP_THRESHOLD_MS) {
            LOG.warn("event=clocks_jumped jump_ms={}", jumpMs);
            core.handle(new PoolEvent.PauseDetected(jumpMs), nowMs());
        }
    }

    private long nextTickDelayMs() {
        return Math.max(0, nextTickAtMs - nowMs());
    }

    /** Runs the timers that are due. */
    private void runDueTimers() {
        long now = nowMs();
        if (now >= nextTickAtMs) {
            boolean isOwner = core.isOwner();
            nextTickAtMs = now + (isOwner ? OWNER_TICK_INTERVAL_MS : FOLLOWER_TICK_INTERVAL_MS);
            if (isOwner || !entries.isLoopBlocked() || now - tickedAtMs >= MAX_FOLLOWER_TICK_DELAY_MS) {
                tickedAtMs = now;
                core.handle(new PoolEvent.Tick(), now);
            }
        }
        endpointList.poll(now);
        hasOwner = core.hasOwner();
    }

    private void updateConfiguration(PoolConfiguration read) {
        Optional<PoolConfiguration> known = configuration;
        if (known.isEmpty() || known.get().version() < read.version()) {
            configuration = Optional.of(read);
            LOG.info(
                    "event=configuration version={} queues={}",
                    read.version(),
                    read.queues().size());
        }
    }

    private void stopOnError(Throwable error) {
        LOG.error("event=fatal error=\"{}\"", error.toString(), error);
        fatalError.complete(error);
    }

    /** Collects the settings of a pool VM and opens it. */
    public static final class Builder {

        private final EventLoopGroup group;
        private HostPort address;
        private String zone = "";
        private int milliCores;
        private double remotePenalty = 1;
        private PoolStore store;
        private EndpointClient endpoints;
        private MeterRegistry registry = new SimpleMeterRegistry();

        private Builder(EventLoopGroup group) {
            this.group = Objects.requireNonNull(group, "group");
        }

        /**
         * Sets the address on which this VM listens for other VMs; port 0 chooses a free port.
         *
         * @param value the address
         * @return this builder
         */
        public Builder address(HostPort value) {
            address = value;
            return this;
        }

        /**
         * Sets the availability zone.
         *
         * @param value its name
         * @return this builder
         */
        public Builder zone(String value) {
            zone = value;
            return this;
        }

        /**
         * Sets the CPU capacity of the VM, by which the owner is chosen.
         *
         * @param value the capacity in thousandths of a core
         * @return this builder
         */
        public Builder milliCores(int value) {
            milliCores = value;
            return this;
        }

        /**
         * Sets the factor by which a task takes longer on an endpoint that is remote from its data.
         *
         * @param value the factor, at least 1
         * @return this builder
         */
        public Builder remotePenalty(double value) {
            remotePenalty = value;
            return this;
        }

        /**
         * Sets the shared store.
         *
         * @param value the store
         * @return this builder
         */
        public Builder store(PoolStore value) {
            store = value;
            return this;
        }

        /**
         * Sets the client of the endpoints.
         *
         * @param value the client
         * @return this builder
         */
        public Builder endpoints(EndpointClient value) {
            endpoints = value;
            return this;
        }

        /**
         * Sets the registry of the VM's metrics.
         *
         * @param value the registry
         * @return this builder
         */
        public Builder meters(MeterRegistry value) {
            registry = value;
            return this;
        }

        /**
         * Opens the VM.
         *
         * @return the VM; it serves jobs once it knows a configuration and an owner
         */
        public PoolVm open() {
            PoolVm vm = new PoolVm(this);
            vm.start();
            return vm;
        }
    }
}
