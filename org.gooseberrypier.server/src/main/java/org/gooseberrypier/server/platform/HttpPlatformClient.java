package org.gooseberrypier.server.platform;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpRequestSpec;
import org.gooseberrypier.http.NotSentException;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.StreamId;

/** Client of the platform's HTTP interface; each call ends within a timeout. */
public final class HttpPlatformClient implements PlatformClient {

    /** Maximum size of the records that one read returns, in bytes; exceeded only by a larger first record. */
    public static final long MAX_PAGE_BYTES = 4L << 20;

    private static final int MAX_PAGE_RECORDS = 500;
    private static final int MAX_CONNECTIONS = 16;
    private static final long CONNECT_TIMEOUT_MS = 2_000;
    private static final long TIMEOUT_MS = 3_000;

    private final HostPort address;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param group the event loops
     * @param address the address of the platform
     */
    public HttpPlatformClient(EventLoopGroup group, HostPort address) {
        this.address = address;
        this.client = HttpClient.builder(group)
                .maxConnectionsPerAddress(MAX_CONNECTIONS)
                .connectTimeoutMs(CONNECT_TIMEOUT_MS)
                .build();
    }

    @Override
    public CompletableFuture<AppendResult> append(StreamId stream, Payload data) {
        HttpRequestSpec request = new HttpRequestSpec(
                "POST", path(stream), Map.of("content-type", "application/json"), data.bytes(), TIMEOUT_MS);
        return client.send(address, request).handle(HttpPlatformClient::appendResult);
    }

    @Override
    public CompletableFuture<LogPage> read(StreamId stream, long from, long waitMs) {
        String path = path(stream) + "?from=" + from + "&max=" + MAX_PAGE_RECORDS + "&maxBytes=" + MAX_PAGE_BYTES
                + "&waitMs=" + waitMs;
        return client.send(address, HttpRequestSpec.get(path, waitMs + TIMEOUT_MS))
                .thenApply(reply -> parse(() -> PlatformReplies.page(reply, from)));
    }

    @Override
    public CompletableFuture<VmListing> listVms() {
        return client.send(address, HttpRequestSpec.get("/v1/vms", TIMEOUT_MS))
                .thenApply(reply -> parse(() -> PlatformReplies.vms(reply)));
    }

    @Override
    public void close() {
        client.close();
    }

    private static AppendResult appendResult(HttpReply reply, Throwable error) {
        if (error != null) {
            Throwable cause = error instanceof CompletionException ? error.getCause() : error;
            String kind = cause instanceof NotSentException ? "not sent: " : "";
            return new AppendResult.Uncertain(kind + cause);
        }
        try {
            return new AppendResult.Appended(PlatformReplies.appendedOffset(reply));
        } catch (IOException e) {
            return new AppendResult.Uncertain(e.toString());
        }
    }

    private static String path(StreamId stream) {
        return "/v1/streams/" + stream.name() + "/records";
    }

    private static <T> T parse(Parser<T> parser) {
        try {
            return parser.parse();
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private interface Parser<T> {
        T parse() throws IOException;
    }
}
