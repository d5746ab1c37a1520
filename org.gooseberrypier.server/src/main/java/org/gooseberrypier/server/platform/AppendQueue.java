package org.gooseberrypier.server.platform;

import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;

import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.StreamId;

/**
 * Limits the number of concurrent appends to the platform's log.
 *
 * <p>Further appends wait in a bounded queue. An append that would exceed the queue's limits is not sent and ends as
 * uncertain.
 */
final class AppendQueue {

    private static final int MAX_IN_FLIGHT = 4;
    private static final int MAX_WAITING = 256;
    private static final long MAX_WAITING_BYTES = 64L << 20;

    private final PlatformClient client;
    private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
    private long waitingBytes;
    private int inFlight;

    AppendQueue(PlatformClient client) {
        this.client = client;
    }

    CompletableFuture<AppendResult> append(StreamId stream, Payload data) {
        Pending pending = new Pending(stream, data, new CompletableFuture<>());
        synchronized (this) {
            if (waiting.size() >= MAX_WAITING || waitingBytes + data.size() > MAX_WAITING_BYTES) {
                return CompletableFuture.completedFuture(
                        new AppendResult.Uncertain("not sent: too many appends are waiting"));
            }
            waiting.add(pending);
            waitingBytes += data.size();
        }
        sendWaiting();
        return pending.result();
    }

    private void sendWaiting() {
        Pending next = pollNext();
        while (next != null) {
            send(next);
            next = pollNext();
        }
    }

    private synchronized Pending pollNext() {
        if (inFlight >= MAX_IN_FLIGHT || waiting.isEmpty()) {
            return null;
        }
        inFlight++;
        Pending next = waiting.poll();
        waitingBytes -= next.data().size();
        return next;
    }

    private void send(Pending pending) {
        client.append(pending.stream(), pending.data()).whenComplete((result, error) -> {
            synchronized (this) {
                inFlight--;
            }
            pending.result().complete(error == null ? result : new AppendResult.Uncertain(error.toString()));
            sendWaiting();
        });
    }

    private record Pending(StreamId stream, Payload data, CompletableFuture<AppendResult> result) {}
}
