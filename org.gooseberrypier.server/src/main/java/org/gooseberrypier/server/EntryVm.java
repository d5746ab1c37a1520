package org.gooseberrypier.server;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.api.Core;
import org.gooseberrypier.api.Dispatcher;
import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.LifecycleEvent;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.server.audit.AuditLog;
import org.gooseberrypier.server.caller.CallerServer;
import org.gooseberrypier.server.endpoint.EndpointConnector;
import org.gooseberrypier.server.log.LogText;
import org.gooseberrypier.server.operator.OperatorServer;
import org.gooseberrypier.server.peer.PeerMeters;
import org.gooseberrypier.server.peer.PeerTransport;
import org.gooseberrypier.server.platform.PlatformConnector;
import org.gooseberrypier.server.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs an entry VM: the dispatcher, and the servers and clients that publish events to it and perform its effects. */
public final class EntryVm implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EntryVm.class);
    private static final int EVENT_LOOPS = 2;
    /** Time beyond the work timeout after which the VM exits even if the core has not finished, in milliseconds. */
    private static final long EXIT_GRACE_PERIOD_MS = 5_000;

    private final Settings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final CompletableFuture<Void> termination = new CompletableFuture<>();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicBoolean exiting = new AtomicBoolean();
    private final Dispatcher dispatcher;
    private final CallerServer callers;
    private final EndpointConnector endpoints;
    private final OperatorServer operators;
    private final PlatformConnector platform;
    private final PeerTransport peers;
    private final AuditLog audit;
    private final AtomicBoolean closed = new AtomicBoolean();

    private EntryVm(Settings settings) {
        this.settings = settings;
        Member self = new Member(new VmId(settings.vm()), newIncarnation());
        dispatcher = Dispatcher.builder(coreSettings(settings, self), this::perform)
                .ringSize(settings.core().maxWaitingEvents())
                .onFatal(this::stopOnError)
                .build();
        callers = new CallerServer(
                dispatcher, group, HostPort.parse(settings.callerAddress()), settings.callers(), meters);
        endpoints = new EndpointConnector(dispatcher, group, settings.endpoints(), meters);
        platform = new PlatformConnector(dispatcher, group, HostPort.parse(settings.platformAddress()));
        peers = new PeerTransport(dispatcher, self, group, HostPort.parse(settings.peerAddress()), settings.peers());
        audit = new AuditLog(self, settings.audit(), entry -> platform.append(StreamId.AUDIT, entry), group, meters);
        operators = new OperatorServer(
                dispatcher,
                group,
                HostPort.parse(settings.operatorAddress()),
                settings.operators(),
                meters,
                audit::tail);
        PeerMeters.register(peers.counters(), meters);
        Gauge.builder("gooseberrypier.core.events.waiting", dispatcher, Dispatcher::waitingEvents)
                .description("Events that wait for the core")
                .register(meters);
    }

    private static DispatcherSettings coreSettings(Settings settings, Member self) {
        return DispatcherSettings.builder(self, new ZoneId(settings.zone()))
                .placement(settings.placement())
                .seed(self.incarnation())
                .maxQueuedTasks(settings.core().maxQueuedTasks())
                .maxQueuedBytes(settings.core().maxQueuedBytes())
                .maxKeptAnswerBytes(settings.core().maxKeptAnswerBytes())
                .maxKeys(settings.core().maxKeys())
                .maxClockSkewMs(settings.core().maxClockSkewMs())
                .creditReturnMs(settings.core().creditReturnMs())
                .stopTimeoutMs(settings.stop().workTimeoutMs())
                .build();
    }

    /**
     * Opens an entry VM.
     *
     * @param settings the settings
     * @return the VM; it serves callers once a ticket is in force
     */
    public static EntryVm open(Settings settings) {
        EntryVm vm = new EntryVm(settings);
        vm.dispatcher.start();
        vm.dispatcher.publish(new LifecycleEvent.Started());
        vm.platform.start();
        LOG.info(
                "event=started vm={} zone={} callers={} operators={} peers={}",
                settings.vm(),
                settings.zone(),
                vm.callers.address(),
                vm.operators.address(),
                vm.peers.address());
        return vm;
    }

    /**
     * Returns the address that callers connect to.
     *
     * @return the address
     */
    public HostPort callerAddress() {
        return callers.address();
    }

    /**
     * Returns the address that operators connect to.
     *
     * @return the address
     */
    public HostPort operatorAddress() {
        return operators.address();
    }

    /**
     * Returns the address that peers connect to.
     *
     * @return the address
     */
    public HostPort peerAddress() {
        return peers.address();
    }

    /**
     * Starts a graceful stop: refuses new work, waits for work in flight and until callers have read their answers,
     * then closes everything.
     *
     * @return completed when the VM has stopped
     */
    public CompletableFuture<Void> stop() {
        if (stopping.compareAndSet(false, true)) {
            LOG.info("event=stop_begun vm={}", settings.vm());
            callers.beginDrain();
            dispatcher.publish(new LifecycleEvent.StopRequested());
            long exitTimeoutMs = settings.stop().workTimeoutMs() + EXIT_GRACE_PERIOD_MS;
            group.schedule(
                    () -> exit("the core did not finish its work in time"), exitTimeoutMs, TimeUnit.MILLISECONDS);
        }
        return termination;
    }

    /**
     * Returns the termination of this VM.
     *
     * @return completed when the VM has stopped; failed if an invariant was violated
     */
    public CompletableFuture<Void> termination() {
        return termination;
    }

    /** Stops without waiting for work in flight, as a crash would. */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        dispatcher.close();
        audit.close();
        platform.close();
        callers.close();
        operators.close();
        endpoints.close();
        peers.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        termination.complete(null);
    }

    private void perform(Effect effect) {
        try {
            dispatchEffect(effect);
        } catch (RejectedExecutionException e) {
            if (!closed.get()) {
                throw e;
            }
        }
    }

    private void dispatchEffect(Effect effect) {
        if (effect instanceof Effect.StartTask s) {
            endpoints.start(s);
        } else if (effect instanceof Effect.AnswerCaller a) {
            callers.answer(a);
        } else if (effect instanceof Effect.SendPeer p) {
            peers.send(p);
        } else if (effect instanceof Effect.CancelTask c) {
            endpoints.cancel(c);
        } else if (effect instanceof Effect.ProbeEndpoint p) {
            endpoints.probe(p);
        } else if (effect instanceof Effect.SendStatus t) {
            callers.sendStatus(t);
        } else if (effect instanceof Effect.Audit a) {
            audit.add(a.entry());
        } else if (effect instanceof Effect.AppendLog a) {
            platform.append(a);
        } else if (effect instanceof Effect.TailStream t) {
            platform.tail(t.stream());
        } else if (effect instanceof Effect.ApplyConfiguration u) {
            peers.applyConfiguration(u.configuration());
            endpoints.applyConfiguration(u.configuration());
        } else if (effect instanceof Effect.Exit) {
            exit("the core has finished its work");
        }
    }

    private void exit(String reason) {
        if (closed.get() || !exiting.compareAndSet(false, true)) {
            return;
        }
        LOG.info("event=exit vm={} reason={}", settings.vm(), LogText.quote(reason));
        long flushMs = settings.stop().flushTimeoutMs();
        callers.drain(flushMs)
                .thenCompose(x -> peers.stop(flushMs))
                .thenCompose(x -> audit.flush().completeOnTimeout(null, flushMs, TimeUnit.MILLISECONDS))
                .whenComplete((x, error) -> closeOnSeparateThread());
    }

    /** Closes on a separate thread, since closing waits for the event loops. */
    private void closeOnSeparateThread() {
        new Thread(this::close, "entry-vm-close").start();
    }

    private void stopOnError(Throwable error, Core core) {
        LOG.error(
                "event=fatal vm={} error={} state={}",
                settings.vm(),
                LogText.quote(error),
                LogText.quote(core.board().describe()),
                error);
        termination.completeExceptionally(error);
        closeOnSeparateThread();
    }

    private static long newIncarnation() {
        return ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    }
}
