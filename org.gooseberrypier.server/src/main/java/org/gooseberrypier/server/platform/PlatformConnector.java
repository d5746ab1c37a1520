package org.gooseberrypier.server.platform;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.api.Dispatcher;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.StreamId;

/** Connects the core to the platform: tails log streams, appends records and polls the list of VMs. */
public final class PlatformConnector implements AutoCloseable {

    private static final int MAX_TAILS = 64;
    private static final long PUBLISH_RETRY_DELAY_MS = 20;

    private final Dispatcher dispatcher;
    private final EventLoopGroup group;
    private final PlatformClient client;
    private final AppendQueue appends;
    private final VmListPoller vmList;
    private final Map<StreamId, LogTail> tails = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates a connector with an HTTP client.
     *
     * @param dispatcher the receiver of the events
     * @param group the event loops
     * @param address the address of the platform
     */
    public PlatformConnector(Dispatcher dispatcher, EventLoopGroup group, HostPort address) {
        this(dispatcher, group, new HttpPlatformClient(group, address));
    }

    /**
     * Creates a connector with the given client.
     *
     * @param dispatcher the receiver of the events
     * @param group the event loops
     * @param client the client of the platform
     */
    public PlatformConnector(Dispatcher dispatcher, EventLoopGroup group, PlatformClient client) {
        this.dispatcher = dispatcher;
        this.group = group;
        this.client = client;
        this.appends = new AppendQueue(client);
        this.vmList = new VmListPoller(client, group, dispatcher::tryPublish);
    }

    /** Starts to tail the ticket stream and to poll the list of VMs. */
    public void start() {
        tail(StreamId.TICKETS);
        vmList.start();
    }

    /**
     * Starts to tail a stream from its oldest record; a further call for the same stream restarts it from there.
     *
     * @param stream the stream
     */
    public void tail(StreamId stream) {
        if (closed || tails.size() >= MAX_TAILS && !tails.containsKey(stream)) {
            return;
        }
        LogTail tail = new LogTail(client, group, dispatcher::tryPublish, stream);
        LogTail previous = tails.put(stream, tail);
        if (previous != null) {
            previous.close();
        }
        tail.start();
    }

    /**
     * Appends a record and publishes the result to the core.
     *
     * @param effect the stream and the record
     */
    public void append(Effect.AppendLog effect) {
        append(effect.stream(), effect.data())
                .thenAccept(result -> publish(new LogEvent.AppendEnded(effect.append(), result)));
    }

    /**
     * Appends a record.
     *
     * @param stream the stream
     * @param data the record
     * @return the result of the append; the future never fails
     */
    public CompletableFuture<AppendResult> append(StreamId stream, Payload data) {
        return appends.append(stream, data);
    }

    @Override
    public void close() {
        closed = true;
        vmList.close();
        tails.values().forEach(LogTail::close);
        client.close();
    }

    private void publish(Event event) {
        if (!closed && !dispatcher.tryPublish(event)) {
            group.schedule(() -> publish(event), PUBLISH_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }
}
