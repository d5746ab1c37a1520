package org.gooseberrypier.pgm;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.server.platform.HttpPlatformClient;
import org.gooseberrypier.server.platform.LogPage;
import org.gooseberrypier.server.platform.PlatformClient;
import org.gooseberrypier.ticket.TicketOutcome;
import org.gooseberrypier.ticket.TicketReplay;

/** The connection of a command to the platform, with its own replay of the ticket stream. */
final class PlatformSession implements AutoCloseable {

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PlatformClient client;
    private final TicketReplay replay = new TicketReplay();
    private long readOffset;

    PlatformSession(HostPort platform) {
        this.client = new HttpPlatformClient(group, platform);
    }

    TicketReplay replay() {
        return replay;
    }

    /** Replays the ticket stream from the end of the last call up to its present end. */
    List<TicketOutcome> replayToEnd() throws IOException {
        List<TicketOutcome> outcomes = new ArrayList<>();
        LogPage page;
        do {
            page = read(StreamId.TICKETS, readOffset);
            outcomes.addAll(replay.applyRead(page.firstOffset(), page.nextOffset(), page.records()));
            readOffset = page.nextReadOffset(readOffset);
        } while (readOffset < page.nextOffset());
        return outcomes;
    }

    /** Reads all records that a stream contains. */
    List<LogRecord> readAll(StreamId stream) throws IOException {
        List<LogRecord> records = new ArrayList<>();
        long next = 0;
        LogPage page;
        do {
            page = read(stream, next);
            records.addAll(page.records());
            next = page.nextReadOffset(next);
        } while (next < page.nextOffset());
        return records;
    }

    AppendResult append(StreamId stream, Payload data) throws IOException {
        return await(client.append(stream, data));
    }

    @Override
    public void close() {
        client.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private LogPage read(StreamId stream, long offset) throws IOException {
        return await(client.read(stream, offset, 0));
    }

    private static <T> T await(CompletableFuture<T> future) throws IOException {
        try {
            return future.join();
        } catch (CompletionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        }
    }
}
