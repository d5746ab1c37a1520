package org.gooseberrypier.server.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.api.Dispatcher;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.CallerEvent;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpServer;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.server.settings.CallerSettings;

/** Serves callers over HTTP: accepts submissions, status requests and cancellations, and replies with their answers. */
public final class CallerServer implements AutoCloseable {

    private static final long RETRY_AFTER_MS = 1_000;

    private final Dispatcher dispatcher;
    private final MeterRegistry meters;
    private final Counter droppedAnswers;
    private final CallRegistry calls;
    private final HttpServer server;

    /**
     * Starts to listen for callers.
     *
     * @param dispatcher the receiver of the events
     * @param group the event loops
     * @param address the address to listen on
     * @param settings the limits of the listener
     * @param meters the registry of the metrics
     */
    public CallerServer(
            Dispatcher dispatcher,
            EventLoopGroup group,
            HostPort address,
            CallerSettings settings,
            MeterRegistry meters) {
        this.dispatcher = dispatcher;
        this.meters = meters;
        this.calls = new CallRegistry(settings.maxCalls());
        this.droppedAnswers = Counter.builder("gooseberrypier.caller.answers.dropped")
                .description("Answers whose caller was gone")
                .register(meters);
        Gauge.builder("gooseberrypier.caller.calls", calls, CallRegistry::size)
                .description("Calls that wait for an answer")
                .register(meters);
        this.server = settings.listener()
                .apply(HttpServer.builder(group, new CallerRouter(this::publish))
                        .errorFormat(Problems::format))
                .maxBufferedBytes(settings.maxBufferedBytes())
                .open(address);
        Gauge.builder("gooseberrypier.caller.connections", server, HttpServer::connections)
                .description("Open connections of callers")
                .register(meters);
    }

    /**
     * Returns the address that callers connect to.
     *
     * @return the address
     */
    public HostPort address() {
        return server.address();
    }

    /**
     * Replies to a call with its answer; the answer is dropped and counted if the caller has disconnected.
     *
     * @param effect the call and its answer
     */
    public void answer(Effect.AnswerCaller effect) {
        Optional<CallRegistry.PendingCall> call = calls.take(effect.call());
        if (call.isEmpty()) {
            droppedAnswers.increment();
            return;
        }
        Answer answer = effect.answer();
        HttpReply reply =
                answer instanceof Answer.Complete c ? call.get().format().format(c) : Problems.format(answer);
        meters.timer("gooseberrypier.caller.time", "status", Integer.toString(reply.status()))
                .record(System.nanoTime() - call.get().startedNanos(), TimeUnit.NANOSECONDS);
        call.get().http().reply(reply);
    }

    /**
     * Replies to a call with the status of a job; the reply is dropped and counted if the caller has disconnected.
     *
     * @param effect the call and the status
     */
    public void sendStatus(Effect.SendStatus effect) {
        calls.take(effect.call())
                .ifPresentOrElse(c -> c.http().reply(StatusFormat.format(effect.status())), droppedAnswers::increment);
    }

    /**
     * Starts to drain connections: each connection is closed after its next reply, so that callers move to other VMs.
     */
    public void beginDrain() {
        server.beginDrain();
    }

    /**
     * Closes the listener, and each connection once its calls are answered.
     *
     * @param timeoutMs how long to wait for the connections, in milliseconds
     * @return completed when all connections are closed
     */
    public CompletableFuture<Void> drain(long timeoutMs) {
        return server.drain(timeoutMs);
    }

    @Override
    public void close() {
        server.close();
    }

    private void publish(HttpCall call, AnswerFormat format, LongFunction<Event> event) {
        Optional<Long> id = calls.add(call, format);
        if (id.isEmpty()) {
            call.reply(Problems.format(overloaded(event.apply(0), "too many calls wait for an answer")));
            return;
        }
        call.onDisconnect(
                () -> calls.take(id.get()).ifPresent(c -> dispatcher.publish(new CallerEvent.Disconnected(id.get()))));
        Event published = event.apply(id.get());
        if (!dispatcher.tryPublish(published)) {
            calls.take(id.get());
            call.reply(Problems.format(overloaded(published, "too many events wait for the dispatcher")));
        }
    }

    /**
     * Creates the answer to a call that is refused because of overload.
     *
     * <p>An earlier submission with the same key may have run, so only a job without a key is reported as not run.
     */
    static Answer overloaded(Event event, String detail) {
        boolean keyless =
                event instanceof CallerEvent.Submitted s && s.submission().key().isEmpty();
        return keyless
                ? new Answer.NotRun(Reason.OVERLOADED, detail, RETRY_AFTER_MS)
                : new Answer.Unknown(Reason.OVERLOADED, detail);
    }
}
