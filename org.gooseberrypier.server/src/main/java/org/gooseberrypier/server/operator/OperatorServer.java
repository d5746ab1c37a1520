package org.gooseberrypier.server.operator;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.api.Core;
import org.gooseberrypier.api.Dispatcher;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpServer;
import org.gooseberrypier.server.settings.ListenerSettings;

/** Serves liveness, readiness, metrics, the ticket in force and the audit trail to operators over HTTP. */
public final class OperatorServer implements AutoCloseable {

    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
    private static final long CORE_TIMEOUT_MS = 2_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;

    private final Dispatcher dispatcher;
    private final EventLoopGroup group;
    private final PrometheusMeterRegistry meters;
    private final CoreMeters core;
    private final Supplier<String> audit;
    private final HttpServer server;

    /**
     * Starts to listen for operators.
     *
     * @param dispatcher the dispatcher whose state is reported
     * @param group the event loops
     * @param address the address to listen on
     * @param settings the limits of the listener
     * @param meters the registry of the exported metrics
     * @param audit supplies the latest audit entries as JSON
     */
    public OperatorServer(
            Dispatcher dispatcher,
            EventLoopGroup group,
            HostPort address,
            ListenerSettings settings,
            PrometheusMeterRegistry meters,
            Supplier<String> audit) {
        this.dispatcher = dispatcher;
        this.group = group;
        this.meters = meters;
        this.core = new CoreMeters(meters);
        this.audit = audit;
        this.server = settings.apply(HttpServer.builder(group, this::handle)).open(address);
    }

    /**
     * Returns the address that operators connect to.
     *
     * @return the address
     */
    public HostPort address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpCall call) {
        if (!call.method().equals("GET")) {
            call.reply(HttpReply.text(NOT_ALLOWED, TEXT, "only GET is allowed here\n"));
            return;
        }
        switch (call.target()) {
            case "/live" -> inspect(call, c -> call.reply(HttpReply.text(OK, TEXT, "live\n")));
            case "/ready" -> inspect(call, c -> call.reply(ready(c)));
            case "/metrics" -> inspect(call, c -> replyMetrics(call, c));
            case "/v1/ticket" -> inspect(call, c -> replyTicket(call, c));
            case "/v1/audit" -> call.reply(HttpReply.text(OK, JSON, audit.get()));
            default -> call.reply(HttpReply.text(NOT_FOUND, TEXT, "no such resource\n"));
        }
    }

    /** Reads the state on the core's thread; answers 503 if the core does not run the reader within the timeout. */
    private void inspect(HttpCall call, Consumer<Core> reader) {
        var timeout = group.schedule(
                () -> call.reply(HttpReply.text(UNAVAILABLE, TEXT, "the core does not answer\n")),
                CORE_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        dispatcher.inspect(c -> {
            timeout.cancel(false);
            reader.accept(c);
        });
    }

    private static HttpReply ready(Core core) {
        if (core.board().lifecycle().isStopping()) {
            return HttpReply.text(UNAVAILABLE, TEXT, "stopping\n");
        }
        if (!core.board().tickets().inForce().isPresent()) {
            return HttpReply.text(UNAVAILABLE, TEXT, "no ticket is in force here\n");
        }
        return HttpReply.text(OK, TEXT, "ready\n");
    }

    private void replyMetrics(HttpCall call, Core state) {
        core.update(state);
        group.execute(() -> call.reply(HttpReply.text(OK, PROMETHEUS, meters.scrape())));
    }

    private void replyTicket(HttpCall call, Core state) {
        var inForce = state.board().tickets().inForce();
        group.execute(() -> call.reply(HttpReply.text(OK, JSON, TicketFormat.format(inForce))));
    }
}
