package rig;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** An HTTP server on a loopback address; a handler may wait, and may leave a call without an answer. */
final class Http implements AutoCloseable {

    /** Answers a call; returns null to close the connection without an answer. */
    interface Handler {
        Reply handle(String path, String query, byte[] body, String expectInstance) throws Exception;
    }

    record Reply(int status, String type, byte[] body) {
        static Reply json(int status, String body) {
            return new Reply(status, "application/json", body.getBytes(StandardCharsets.UTF_8));
        }
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private volatile boolean closed;

    Http(InetSocketAddress address, Handler handler) throws IOException {
        server = HttpServer.create(address, 256);
        server.setExecutor(threads);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
    }

    private void serve(HttpExchange x, Handler handler) throws IOException {
        try {
            byte[] body = x.getRequestBody().readAllBytes();
            Reply r = handler.handle(
                    x.getRequestURI().getPath(),
                    x.getRequestURI().getRawQuery() == null ? "" : x.getRequestURI().getRawQuery(),
                    body,
                    x.getRequestHeaders().getFirst("Gooseberrypier-Expect-Instance"));
            if (r == null || closed) {
                x.close();
                return;
            }
            x.getResponseHeaders().set("Content-Type", r.type());
            x.sendResponseHeaders(r.status(), r.body().length == 0 ? -1 : r.body().length);
            if (r.body().length > 0) {
                try (OutputStream out = x.getResponseBody()) {
                    out.write(r.body());
                }
            }
            x.close();
        } catch (Exception e) {
            x.close();
        }
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    /** Stops at once: open calls get no answer. */
    @Override
    public void close() {
        closed = true;
        server.stop(0);
        threads.shutdownNow();
    }
}
