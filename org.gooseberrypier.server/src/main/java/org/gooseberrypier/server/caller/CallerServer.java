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

/** Takes submissions over HTTP and gives each caller the answer to its own. */
public final class CallerServer implements AutoCloseable {

    private static final long RETRY_AFTER_MS = 1_000;

    private final Dispatcher dispatcher;
    private final MeterRegistry meters;
    private final Counter dropped;
    private final CallRegistry calls;
    private final HttpServer server;

    /**
     * Opens the edge.
     *
     * @param dispatcher who gets the events
     * @param group the event loops
     * @param address where to listen
     * @param settings the limits of the listener
     * @param meters where calls are counted
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
        this.dropped = Counter.builder("gooseberrypier.caller.answers.dropped")
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
     * Answers a caller.
     *
     * @param effect the call and its answer
     */
    public void answer(Effect.AnswerCaller effect) {
        Optional<CallRegistry.PendingCall> call = calls.take(effect.call());
        if (call.isEmpty()) {
            dropped.increment();
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
     * Tells a caller the state of a job.
     *
     * @param effect the call and the state
     */
    public void sendStatus(Effect.SendStatus effect) {
        calls.take(effect.call())
                .ifPresentOrElse(c -> c.http().reply(StatusFormat.format(effect.status())), dropped::increment);
    }

    /** Asks callers to go elsewhere: each connection closes after its next answer. */
    public void beginDrain() {
        server.beginDrain();
    }

    /**
     * Closes the listener, and each connection as soon as its calls are answered.
     *
     * @param timeoutMs how long to wait for that, in milliseconds
     * @return done when all connections are closed
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

    /** Refuses an event; of a key an earlier attempt may have run, so that only a job without one is surely not run. */
    static Answer overloaded(Event event, String detail) {
        boolean keyless =
                event instanceof CallerEvent.Submitted s && s.submission().key().isEmpty();
        return keyless
                ? new Answer.NotRun(Reason.OVERLOADED, detail, RETRY_AFTER_MS)
                : new Answer.Unknown(Reason.OVERLOADED, detail);
    }
}
