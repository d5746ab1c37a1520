package rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Small helpers for the HTTP servers of the stand-ins. */
final class Http {

    static final ObjectMapper JSON = new ObjectMapper();
    static final ExecutorService THREADS = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "stand-in");
        t.setDaemon(true);
        return t;
    });

    interface Handler {
        void handle(HttpExchange call) throws Exception;
    }

    static {
        // Without it, the two writes of an answer take 40 ms, as long as a delayed acknowledgement.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private Http() {}

    /** Listens on an address; port 0 chooses a free one. */
    static HttpServer listen(String ip, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 256);
        server.setExecutor(THREADS);
        server.createContext("/", call -> {
            try {
                handler.handle(call);
            } catch (IOException e) {
                call.close();
            } catch (Exception e) {
                Trace.log("stand-in failed: %s", e);
                call.close();
            }
        });
        server.start();
        return server;
    }

    static Map<String, String> query(HttpExchange call) {
        Map<String, String> values = new HashMap<>();
        String query = call.getRequestURI().getQuery();
        if (query != null) {
            for (String pair : query.split("&")) {
                int at = pair.indexOf('=');
                values.put(pair.substring(0, at), pair.substring(at + 1));
            }
        }
        return values;
    }

    static void reply(HttpExchange call, int status, byte[] body) throws IOException {
        call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            call.getResponseBody().write(body);
        }
        call.close();
    }

    static void replyJson(HttpExchange call, int status, Object node) throws IOException {
        call.getResponseHeaders().set("Content-Type", "application/json");
        reply(call, status, JSON.writeValueAsBytes(node));
    }

    static void sleepMicros(long micros) {
        if (micros > 0) {
            java.util.concurrent.locks.LockSupport.parkNanos(micros * 1_000);
        }
    }
}
