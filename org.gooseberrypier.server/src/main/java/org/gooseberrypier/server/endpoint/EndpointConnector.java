package org.gooseberrypier.server.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.api.Dispatcher;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.http.HttpRequestSpec;
import org.gooseberrypier.http.NoReplyException;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.server.log.LogText;
import org.gooseberrypier.server.settings.EndpointSettings;
import org.gooseberrypier.ticket.Configuration;
import org.gooseberrypier.ticket.EndpointSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends tasks to endpoints over HTTP and publishes the result of each attempt. */
public final class EndpointConnector implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointConnector.class);

    private final Consumer<? super EndpointEvent> events;
    private final EndpointSettings settings;
    private final HttpClient client;
    private final Map<Long, Effect.StartTask> attempts = new ConcurrentHashMap<>();
    private volatile Set<HostPort> addresses = Set.of();

    /**
     * Creates a connector without connections.
     *
     * @param dispatcher the receiver of the events
     * @param group the event loops
     * @param settings the settings of the connections
     * @param meters the registry of the metrics
     */
    public EndpointConnector(
            Dispatcher dispatcher, EventLoopGroup group, EndpointSettings settings, MeterRegistry meters) {
        this(dispatcher::publish, group, settings, meters);
    }

    EndpointConnector(
            Consumer<? super EndpointEvent> events,
            EventLoopGroup group,
            EndpointSettings settings,
            MeterRegistry meters) {
        this.events = events;
        this.settings = settings;
        this.client = HttpClient.builder(group)
                .connectTimeoutMs(settings.connectTimeoutMs())
                .maxWaitingRequestsPerAddress(settings.maxWaitingRequests())
                .maxIdleMs(settings.maxIdleMs())
                .maxReplyBytes(settings.maxReplyBytes())
                .build();
        Gauge.builder("gooseberrypier.endpoint.attempts", attempts, Map::size)
                .description("Attempts whose end is awaited")
                .register(meters);
    }

    /**
     * Applies the connection limits of a configuration and closes the connections to endpoints that are not in it.
     *
     * @param configuration the configuration in force
     */
    public void applyConfiguration(Configuration configuration) {
        int vms = Math.max(1, configuration.vms().size());
        Map<HostPort, Integer> limits = new HashMap<>();
        for (EndpointSpec e : configuration.endpoints().values()) {
            try {
                limits.merge(HostPort.parse(e.address()), Math.max(1, e.connections() / vms), Integer::sum);
            } catch (IllegalArgumentException x) {
                LOG.warn(
                        "event=endpoint_address_malformed endpoint={} error={}",
                        LogText.quote(e.id()),
                        LogText.quote(x.getMessage()));
            }
        }
        limits.forEach(client::setMaxConnections);
        for (HostPort a : addresses) {
            if (!limits.containsKey(a)) {
                client.drain(a);
            }
        }
        addresses = Set.copyOf(limits.keySet());
    }

    /**
     * Sends a task; the result is published as an event.
     *
     * @param task the task and its endpoint
     */
    public void start(Effect.StartTask task) {
        long remainingMs = task.deadlineAtMs() - System.currentTimeMillis();
        if (remainingMs <= 0) {
            publishReply(task, new TaskReply.NotStarted("the deadline has passed"));
            return;
        }
        HostPort address;
        try {
            address = HostPort.parse(task.address());
        } catch (IllegalArgumentException e) {
            publishReply(task, new TaskReply.NotStarted(e.getMessage()));
            return;
        }
        attempts.put(task.attempt(), task);
        client.send(address, TaskRequests.start(task, remainingMs)).whenComplete((reply, error) -> {
            attempts.remove(task.attempt());
            publishReply(task, error == null ? TaskReplies.read(task, reply) : TaskReplies.read(error));
        });
    }

    /**
     * Asks an endpoint to stop an attempt. The result is published by the attempt, not by this request.
     *
     * @param effect the attempt
     */
    public void cancel(Effect.CancelTask effect) {
        Effect.StartTask task = attempts.get(effect.attempt());
        if (task == null) {
            return;
        }
        client.send(HostPort.parse(task.address()), TaskRequests.cancel(task, settings.cancelTimeoutMs()))
                .exceptionally(error -> {
                    LOG.debug(
                            "event=cancel_failed task={} error={}",
                            LogText.quote(task.task()),
                            LogText.quote(error.toString()));
                    return null;
                });
    }

    /**
     * Probes whether an endpoint answers and publishes the result. If an open connection does not answer, the probe is
     * repeated on a new connection.
     *
     * @param effect the endpoint
     */
    public void probe(Effect.ProbeEndpoint effect) {
        HostPort address;
        try {
            address = HostPort.parse(effect.address());
        } catch (IllegalArgumentException e) {
            publishProbe(effect.endpoint(), false);
            return;
        }
        HttpRequestSpec request = TaskRequests.probe(settings.probeTimeoutMs());
        client.send(address, request).whenComplete((reply, error) -> {
            if (error instanceof NoReplyException) {
                client.closeIdleConnections(address);
                client.send(address, request)
                        .whenComplete((again, failure) -> publishProbe(effect.endpoint(), failure == null));
            } else {
                publishProbe(effect.endpoint(), error == null);
            }
        });
    }

    @Override
    public void close() {
        client.close();
    }

    private void publishProbe(EndpointId endpoint, boolean alive) {
        events.accept(new EndpointEvent.Probed(endpoint, alive));
    }

    private void publishReply(Effect.StartTask task, TaskReply reply) {
        events.accept(new EndpointEvent.Replied(task.attempt(), reply));
    }
}
