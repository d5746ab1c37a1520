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

/** Connects the core with the platform: follows streams, appends records, reads the list of VMs. */
public final class PlatformConnector implements AutoCloseable {

    private static final int MAX_TAILS = 64;
    private static final long BUSY_RETRY_MS = 20;

    private final Dispatcher dispatcher;
    private final EventLoopGroup group;
    private final PlatformClient client;
    private final AppendQueue appends;
    private final VmListPoller vms;
    private final Map<StreamId, LogTail> tails = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates the edge.
     *
     * @param dispatcher who gets the events
     * @param group the event loops
     * @param address where the platform listens
     */
    public PlatformConnector(Dispatcher dispatcher, EventLoopGroup group, HostPort address) {
        this(dispatcher, group, new HttpPlatformClient(group, address));
    }

    /**
     * Creates the edge with another client.
     *
     * @param dispatcher who gets the events
     * @param group the event loops
     * @param client how to speak with the platform
     */
    public PlatformConnector(Dispatcher dispatcher, EventLoopGroup group, PlatformClient client) {
        this.dispatcher = dispatcher;
        this.group = group;
        this.client = client;
        this.appends = new AppendQueue(client);
        this.vms = new VmListPoller(client, group, dispatcher::tryPublish);
    }

    /** Begins to follow the ticket stream and the list of VMs. */
    public void start() {
        tail(StreamId.TICKETS);
        vms.start();
    }

    /**
     * Begins to follow a stream from its oldest record; a second call for the same stream begins anew.
     *
     * @param stream the stream
     */
    public void tail(StreamId stream) {
        if (closed || tails.size() >= MAX_TAILS && !tails.containsKey(stream)) {
            return;
        }
        LogTail tail = new LogTail(client, group, dispatcher::tryPublish, stream);
        LogTail before = tails.put(stream, tail);
        if (before != null) {
            before.close();
        }
        tail.start();
    }

    /**
     * Appends a record and tells the core the end of it.
     *
     * @param effect the record
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
     * @return what is known of the append; never failed
     */
    public CompletableFuture<AppendResult> append(StreamId stream, Payload data) {
        return appends.append(stream, data);
    }

    @Override
    public void close() {
        closed = true;
        vms.close();
        tails.values().forEach(LogTail::close);
        client.close();
    }

    private void publish(Event event) {
        if (!closed && !dispatcher.tryPublish(event)) {
            group.schedule(() -> publish(event), BUSY_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }
}
