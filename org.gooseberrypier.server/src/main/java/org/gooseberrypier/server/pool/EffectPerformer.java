package org.gooseberrypier.server.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import org.gooseberrypier.pool.ClaimResult;
import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.StartResult;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.server.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Performs the effects of the core with the clients and links of a VM.
 *
 * <p>{@link #perform} runs on the core's thread, where an exception means a broken invariant and ends the process.
 * Therefore it throws none: a failure of I/O becomes the event that reports it to the core, or a log line if the core does
 * not wait for the effect. Only errors of the JVM, such as exhausted memory, pass.
 */
final class EffectPerformer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EffectPerformer.class);

    /** Delay after which an event loop has polled its connections at least once, in milliseconds. */
    private static final long CALLER_CHECK_DELAY_MS = 20;

    private final VmIncarnation self;
    private final Clients clients;
    private final OpenCalls calls;
    private final PoolMeters meters;
    private final Consumer<PoolEvent> events;
    /** The link to the owner, null if there is none; changed on the core's thread. */
    private volatile OwnerLink link;

    /**
     * What effects are performed with.
     *
     * @param group the event loops of all connections
     * @param store the client of the shared store
     * @param endpoints the client of the endpoints
     * @param entries the links of entry VMs to this VM
     * @param endpointList the reader of the list of endpoints
     */
    record Clients(
            EventLoopGroup group,
            PoolStore store,
            EndpointClient endpoints,
            EntryLinks entries,
            EndpointListPoller endpointList) {}

    EffectPerformer(
            VmIncarnation self, Clients clients, OpenCalls calls, PoolMeters meters, Consumer<PoolEvent> events) {
        this.self = self;
        this.clients = clients;
        this.calls = calls;
        this.meters = meters;
        this.events = events;
    }

    void perform(PoolEffect effect) {
        try {
            dispatch(effect);
        } catch (RuntimeException e) {
            logFailure(effect, e);
        }
    }

    private void dispatch(PoolEffect effect) {
        if (effect instanceof PoolEffect.Log l) {
            log(l);
        } else if (effect instanceof PoolEffect.RenewLeases r) {
            request(r, () -> clients.endpoints().renewLeases(r), EffectPerformer::unansweredRenewal, result -> {
                events.accept(new PoolEvent.LeaseRenewalEnded(r, result));
                meters.recordLeaseRenewal(result);
            });
        } else if (effect instanceof PoolEffect.Start s) {
            // A start that failed here may have been sent, so that the core has to stop the run.
            request(s, () -> clients.endpoints().start(s), error -> StartResult.UNANSWERED, result -> {
                events.accept(new PoolEvent.StartEnded(s, result));
                meters.recordStart(result);
            });
        } else if (effect instanceof PoolEffect.Stop s) {
            request(
                    s,
                    () -> clients.endpoints().stop(s),
                    error -> false,
                    result -> events.accept(new PoolEvent.StopEnded(s, result)));
        } else if (effect instanceof PoolEffect.Claim c) {
            request(
                    c,
                    () -> clients.store().claim(c.expectedOffset(), c.owner()),
                    error -> new ClaimResult.Unanswered(),
                    result -> {
                        events.accept(new PoolEvent.ClaimEnded(c.owner(), result));
                        meters.recordClaim(result);
                    });
        } else {
            dispatchWithoutResult(effect);
        }
    }

    private void dispatchWithoutResult(PoolEffect effect) {
        if (effect instanceof PoolEffect.Answer a) {
            answer(a);
        } else if (effect instanceof PoolEffect.SendToOwner s) {
            sendToOwner(s);
        } else if (effect instanceof PoolEffect.SendToEntry s) {
            clients.entries().send(s);
        } else if (effect instanceof PoolEffect.LinkOwner l) {
            linkOwner(l);
        } else if (effect instanceof PoolEffect.PollEndpoints p) {
            clients.endpointList().setOwner(p.owner());
        } else if (effect instanceof PoolEffect.ReadOwnership) {
            readOwnership();
        } else if (effect instanceof PoolEffect.CheckCallers c) {
            checkCallers(c);
        }
    }

    /** Publishes the result once each event loop has polled its connections, so that disconnects are published before. */
    private void checkCallers(PoolEffect.CheckCallers effect) {
        List<CompletableFuture<Void>> checks = new ArrayList<>();
        for (EventExecutor loop : clients.group()) {
            CompletableFuture<Void> check = new CompletableFuture<>();
            loop.schedule(() -> check.complete(null), CALLER_CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
            checks.add(check);
        }
        CompletableFuture.allOf(checks.toArray(new CompletableFuture<?>[0]))
                .thenRun(() -> events.accept(new PoolEvent.CallersChecked(effect.requestedAtMs())))
                .exceptionally(error -> {
                    logFailure(effect, error);
                    return null;
                });
    }

    private void sendToOwner(PoolEffect.SendToOwner effect) {
        OwnerLink current = link;
        if (current != null) {
            current.send(effect.message());
        }
    }

    private static LeaseRenewalResult unansweredRenewal(Throwable error) {
        return new LeaseRenewalResult.Unanswered(String.valueOf(error.getMessage()));
    }

    /**
     * Sends a request and passes its result on.
     *
     * @param effect the effect, for the log
     * @param send sends the request
     * @param onFailure returns the result to which a failure of the client amounts
     * @param then receives the result, on an event loop
     */
    private <T> void request(
            PoolEffect effect,
            Supplier<CompletableFuture<T>> send,
            Function<Throwable, T> onFailure,
            Consumer<T> then) {
        CompletableFuture<T> reply;
        try {
            reply = send.get();
        } catch (RuntimeException e) {
            CompletableFuture<T> failed = new CompletableFuture<>();
            publishResult(effect, failed, onFailure, then);
            // The result is published by an event loop: the core's thread cannot wait for room in its own ring.
            clients.group().execute(() -> failed.completeExceptionally(e));
            return;
        }
        publishResult(effect, reply, onFailure, then);
    }

    private static <T> void publishResult(
            PoolEffect effect, CompletableFuture<T> reply, Function<Throwable, T> onFailure, Consumer<T> then) {
        reply.exceptionally(error -> {
                    logFailure(effect, error);
                    return onFailure.apply(error);
                })
                .thenAccept(then)
                .exceptionally(error -> {
                    logFailure(effect, error);
                    return null;
                });
    }

    private static void logFailure(PoolEffect effect, Throwable error) {
        LOG.error(
                "event=effect_failed effect={} error={}",
                effect.getClass().getSimpleName(),
                LogText.quote(error),
                error);
    }

    private void readOwnership() {
        long requestedAtMs = PoolVm.nowMs();
        clients.store().readOwnership(PoolStore.NEWEST, 0).whenComplete((page, error) -> {
            if (error == null) {
                events.accept(new PoolEvent.OwnershipRead(page.nextOffset(), page.newest(), requestedAtMs));
            } else {
                LOG.warn("event=ownership_not_read error={}", LogText.quote(error.getMessage()));
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
            try {
                meters.recordOutcome(a.outcome(), System.nanoTime() - call.startedNanos());
            } finally {
                call.outcome().complete(a.outcome());
            }
        });
    }

    private void linkOwner(PoolEffect.LinkOwner effect) {
        close();
        if (!effect.peer().isEmpty()) {
            link = new OwnerLink(
                    self, effect.peer(), effect.link(), clients.group().next(), events);
        }
    }

    /** Closes the link to the owner, if there is one. */
    @Override
    public void close() {
        OwnerLink current = link;
        link = null;
        if (current != null) {
            current.close();
        }
    }
}
