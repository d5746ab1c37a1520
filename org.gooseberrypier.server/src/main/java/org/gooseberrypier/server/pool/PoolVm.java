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
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolJob;
import org.gooseberrypier.pool.VmIncarnation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One VM of the pool: the rules on their thread, and the edges that perform their effects. */
public final class PoolVm implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PoolVm.class);
    /** Events that may wait, a power of two as the ring needs it. */
    private static final int RING_SIZE = 1 << 13;

    /** How often timers are looked at: by an owner, whose leases and refusals depend on it, and by others. */
    private static final long OWNER_TICK_MS = 15;

    private static final long FOLLOWER_TICK_MS = 40;

    /** How long the store may hold a read of the ownership open, in milliseconds; shorter than its silence limit. */
    private static final long OWNERSHIP_WAIT_MS = 350;

    /** How long the store may hold a read of the configuration open, in milliseconds. */
    private static final long CONFIGURATION_WAIT_MS = 700;

    /** How often the endpoints are read: by an owner, so that a drain is seen in time, and by others. */
    private static final long OWNER_LIST_MS = 400;

    private static final long FOLLOWER_LIST_MS = 3_000;

    /** Clocks that part by more than this show a pause or a step; less is the usual correction, in milliseconds. */
    private static final long CLOCK_JUMP_MS = 150;

    private final VmIncarnation self;
    private final EventLoopGroup group;
    private final PoolStore store;
    private final EndpointClient endpoints;
    private final PoolCore core;
    private final EventRing<PoolEvent> ring;
    private final EntryLinks entries;
    private final StorePoller<?> ownership;
    private final StorePoller<?> configurations;
    private final PoolMeters meters;
    private final OpenCalls calls = new OpenCalls();
    private final CompletableFuture<Throwable> fatal = new CompletableFuture<>();
    private volatile Optional<PoolConfiguration> configuration = Optional.empty();
    private volatile boolean connected;
    private volatile boolean owner;
    private volatile boolean closed;
    private OwnerLink link;
    /** Cleared on an event loop. */
    private volatile boolean listing;

    private long listAtMs;
    private long tickAtMs;
    private long clockOffsetMs = System.currentTimeMillis() - nowMs();

    private PoolVm(Builder builder) {
        self = new VmIncarnation(
                builder.address.toString(),
                builder.zone,
                ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE),
                builder.milliCores);
        group = builder.group;
        store = builder.store;
        endpoints = builder.endpoints;
        meters = new PoolMeters(builder.registry);
        meters.gauge("owner", "Whether this VM owns endpoints", () -> owner);
        meters.gauge("linked", "Whether jobs can be handed to an owner", () -> connected);
        core = new PoolCore(self, builder.remotePenalty, nowMs(), this::perform);
        ring = new EventRing<>("pool-core", RING_SIZE, this::handle, this::tick, this::sleepMs, this::stopOnError);
        entries = new EntryLinks(builder.address, group, ring::publish);
        ownership = new StorePoller<>(
                "ownership",
                group,
                OWNERSHIP_WAIT_MS,
                store::readOwnership,
                (page, askedAtMs) ->
                        ring.publish(new PoolEvent.OwnershipRead(page.nextOffset(), page.newest(), askedAtMs)));
        configurations = new StorePoller<PoolConfiguration>(
                "configuration",
                group,
                CONFIGURATION_WAIT_MS,
                store::readConfiguration,
                (page, askedAtMs) -> page.newest().ifPresent(this::use));
    }

    /**
     * Starts a builder.
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

    /** A job of a caller of this VM. */
    public final class Submission {

        private final OpenCalls.Call call;

        private Submission(OpenCalls.Call call) {
            this.call = call;
        }

        /**
         * Returns the answer.
         *
         * @return how the job ends
         */
        public CompletableFuture<JobOutcome> outcome() {
            return call.outcome();
        }

        /** Tells that the caller is gone. */
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
     * @return the submission
     */
    public Submission submit(PoolJob job) {
        OpenCalls.Call call = calls.open(job.id());
        ring.publish(new PoolEvent.JobSubmitted(call.number(), job));
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
     * Returns whether a job of a caller of this VM is in flight.
     *
     * @param job the job's identifier
     * @return whether it is
     */
    public boolean isInFlight(String job) {
        return calls.isInFlight(job);
    }

    /**
     * Returns how many jobs wait in a queue without a started task.
     *
     * @param queue the queue
     * @return jobs
     */
    public int waitingJobs(String queue) {
        return core.waitingJobs(queue);
    }

    /**
     * Returns the operators' configuration.
     *
     * @return the newest that is known, if any is
     */
    public Optional<PoolConfiguration> configuration() {
        return configuration;
    }

    /**
     * Returns whether jobs are served.
     *
     * @return whether a configuration and an owner are known
     */
    public boolean isReady() {
        return configuration.isPresent() && connected;
    }

    /**
     * Returns the end of this VM by a broken invariant.
     *
     * @return done with the error
     */
    public CompletableFuture<Throwable> fatalError() {
        return fatal;
    }

    /** Hands the ownership over, if this VM has it; jobs in flight go on. */
    public void beginStop() {
        ring.publish(new PoolEvent.StopRequested());
    }

    /** Stops at once. */
    @Override
    public void close() {
        closed = true;
        ownership.close();
        configurations.close();
        entries.close();
        ring.close();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void handle(PoolEvent event) {
        checkClocks();
        core.handle(event, nowMs());
        advance();
    }

    private void tick() {
        checkClocks();
        advance();
    }

    /** Finds pauses of the VM: the time of day goes on in them, the steady clock does not. A step looks the same. */
    private void checkClocks() {
        long offsetMs = System.currentTimeMillis() - nowMs();
        boolean jumped = Math.abs(offsetMs - clockOffsetMs) > CLOCK_JUMP_MS;
        clockOffsetMs = offsetMs;
        if (jumped) {
            LOG.warn("event=clocks_jumped");
            core.handle(new PoolEvent.PauseDetected(), nowMs());
            entries.requestConfirmation();
        }
    }

    private long sleepMs() {
        return Math.max(0, tickAtMs - nowMs());
    }

    /** Runs the timers that are due. */
    private void advance() {
        long now = nowMs();
        if (now >= tickAtMs) {
            tickAtMs = now + (core.isOwner() ? OWNER_TICK_MS : FOLLOWER_TICK_MS);
            core.handle(new PoolEvent.Tick(), now);
        }
        if (now >= listAtMs && !listing) {
            list(now);
        }
        connected = core.hasOwner();
    }

    private void list(long now) {
        listing = true;
        listAtMs = now + (owner ? OWNER_LIST_MS : FOLLOWER_LIST_MS);
        store.readEndpoints().whenComplete((list, error) -> {
            listing = false;
            if (error == null) {
                ring.publish(new PoolEvent.EndpointsRead(list, now));
            } else {
                LOG.warn("event=endpoints_not_read error=\"{}\"", error.getMessage());
            }
        });
    }

    private void use(PoolConfiguration read) {
        Optional<PoolConfiguration> known = configuration;
        if (known.isEmpty() || known.get().version() < read.version()) {
            configuration = Optional.of(read);
            LOG.info(
                    "event=configuration version={} queues={}",
                    read.version(),
                    read.queues().size());
        }
    }

    private void perform(PoolEffect effect) {
        if (effect instanceof PoolEffect.Log l) {
            log(l);
        } else if (effect instanceof PoolEffect.RenewLeases h) {
            endpoints.renewLeases(h).thenAccept(r -> {
                meters.recordLeaseRenewal(r);
                ring.publish(new PoolEvent.LeaseRenewalEnded(h, r));
            });
        } else if (effect instanceof PoolEffect.Start s) {
            endpoints.start(s).thenAccept(r -> {
                meters.recordStart(r);
                ring.publish(new PoolEvent.StartEnded(s, r));
            });
        } else if (effect instanceof PoolEffect.Stop s) {
            endpoints.stop(s).thenAccept(r -> ring.publish(new PoolEvent.StopEnded(s, r)));
        } else if (effect instanceof PoolEffect.Answer a) {
            answer(a);
        } else if (effect instanceof PoolEffect.SendToOwner s && link != null) {
            link.send(s.message());
        } else if (effect instanceof PoolEffect.SendToEntry s) {
            entries.send(s);
        } else if (effect instanceof PoolEffect.LinkOwner l) {
            linkOwner(l.peer());
        } else if (effect instanceof PoolEffect.PollEndpoints f) {
            owner = f.owner();
            listAtMs = 0;
        } else if (effect instanceof PoolEffect.Claim c) {
            store.claim(c.expectedOffset(), c.owner()).thenAccept(r -> {
                meters.recordClaim(r);
                ring.publish(new PoolEvent.ClaimEnded(c.owner(), r));
            });
        } else if (effect instanceof PoolEffect.ReadOwnership) {
            readOwnership();
        }
    }

    private void readOwnership() {
        long askedAtMs = nowMs();
        store.readOwnership(PoolStore.NEWEST, 0).whenComplete((page, error) -> {
            if (error == null) {
                ring.publish(new PoolEvent.OwnershipRead(page.nextOffset(), page.newest(), askedAtMs));
            } else {
                LOG.warn("event=ownership_not_read error=\"{}\"", error.getMessage());
            }
        });
    }

    private static void log(PoolEffect.Log line) {
        if (line.warning()) {
            LOG.warn(line.text());
        } else {
            LOG.info(line.text());
        }
    }

    private void answer(PoolEffect.Answer a) {
        calls.remove(a.call()).ifPresent(call -> {
            meters.recordOutcome(a.outcome(), System.nanoTime() - call.startedNanos());
            call.outcome().complete(a.outcome());
        });
    }

    private void linkOwner(String peer) {
        if (link != null) {
            link.close();
            link = null;
        }
        if (!peer.isEmpty() && !closed) {
            link = new OwnerLink(self, peer, group.next(), ring::publish);
        }
    }

    private void stopOnError(Throwable error) {
        LOG.error("event=fatal error=\"{}\"", error.toString(), error);
        fatal.complete(error);
    }

    /** Builds and opens a VM of the pool. */
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
         * Sets where other VMs reach this one.
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
         * Sets the VM's processor, by which the owner is chosen.
         *
         * @param value thousandths of a core
         * @return this builder
         */
        public Builder milliCores(int value) {
            milliCores = value;
            return this;
        }

        /**
         * Sets how many times as long a task takes away from its data.
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
         * Sets who speaks with endpoints.
         *
         * @param value the client
         * @return this builder
         */
        public Builder endpoints(EndpointClient value) {
            endpoints = value;
            return this;
        }

        /**
         * Sets where it counts.
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
         * @return the VM, serving as soon as it knows a configuration and an owner
         */
        public PoolVm open() {
            PoolVm vm = new PoolVm(this);
            vm.start();
            return vm;
        }
    }
}
