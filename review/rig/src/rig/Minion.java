package rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of a minion. It runs tasks under a lease, keeps the highest fencing token of its boot, guards its capacity, and
 * lists runs and ends. A task takes the number of milliseconds in its spec and asks for one core.
 *
 * <p>A boot may end without notice ({@link #crash}) and another one may begin under the same id and at the same address
 * ({@link #boot}). It knows nothing of the one before; its clock and its numbers start anew, and {@code born} tells the two
 * apart.
 */
final class Minion {

    /** {@code hold_max_ms}. */
    private static final long MAX_LEASE_MS = 1_000;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED = 421;

    /** A run, from its start until its end. */
    static final class Run {
        final String task;
        final int attempt;
        final String minion;
        final long born;
        final List<String> labels;
        final long workMs;
        final long startedAtMs = Trace.nowMs();
        volatile long endedAtMs = Long.MAX_VALUE;
        private String how = "";

        private Run(String task, int attempt, long workMs, Minion m) {
            this.task = task;
            this.attempt = attempt;
            this.workMs = workMs;
            this.minion = m.id;
            this.born = m.born;
            this.labels = m.labels;
        }

        @Override
        public String toString() {
            String end = endedAtMs == Long.MAX_VALUE ? "now" : Long.toString(endedAtMs);
            return task + " attempt " + attempt + " on " + minion + " born " + born + " labels " + labels + " from "
                    + startedAtMs + " to " + end + " " + how;
        }
    }

    private record End(long number, Run run) {}

    final String id;
    private final String ip;
    private final String zone;
    private final int cores;
    private final Store store;
    private final long linkMicros;

    /** How much longer the answer to a hold is under way than other answers, in milliseconds. */
    private volatile long holdAnswerDelayMs;

    private HttpServer server;
    private int port;
    private boolean up;
    private List<String> labels = List.of();
    private long born;
    private long bootedAtMs;
    private long beat;
    private long token;
    private long leaseMs;
    private long lastEnd;
    private final Map<String, Run> running = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<Run> runs = new ArrayList<>();

    /**
     * Creates a minion that is down.
     *
     * @param linkMicros the delay of its link to the machines of the system, one way, in microseconds
     */
    Minion(String id, String ip, String zone, int cores, long linkMicros, Store store) {
        this.id = id;
        this.ip = ip;
        this.zone = zone;
        this.cores = cores;
        this.linkMicros = linkMicros;
        this.store = store;
        Thread timers = new Thread(this::runTimers, "minion-" + id);
        timers.setDaemon(true);
        timers.start();
    }

    void setHoldAnswerDelayMs(long value) {
        holdAnswerDelayMs = value;
    }

    /** Begins a boot: registers in the store, then serves. */
    synchronized void boot(List<String> bootLabels) throws IOException {
        labels = List.copyOf(bootLabels);
        born = System.currentTimeMillis();
        bootedAtMs = Trace.nowMs();
        token = 0;
        leaseMs = 0;
        lastEnd = 0;
        running.clear();
        ends.clear();
        highestEnded.clear();
        up = true;
        boolean first = port == 0;
        if (!first) {
            register();
        }
        server = Http.listen(ip, port, this::handle);
        port = server.getAddress().getPort();
        if (first) {
            register();
        }
        Trace.log("minion %s boots: born=%d labels=%s", id, born, labels);
    }

    /** Ends the boot without notice; its runs end with it. */
    void crash() {
        HttpServer old;
        synchronized (this) {
            up = false;
            old = server;
            for (Run r : List.copyOf(running.values())) {
                end(r, "crashed");
            }
            Trace.log("minion %s crashes", id);
            notifyAll();
        }
        old.stop(0);
    }

    synchronized List<String> labels() {
        return labels;
    }

    /** Returns the number of tasks that run now. */
    synchronized int load() {
        return running.size();
    }

    /** Returns all runs of all boots. */
    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private void register() {
        beat++;
        ObjectNode n = Http.JSON.createObjectNode();
        n.put("service", Rig.SERVICE).put("address", ip + ":" + port).put("zone", zone).put("version", "v1");
        n.put("slots", cores).put("state", "ready").put("cold_ms", 0);
        n.putObject("capacity").put("cpu", cores * 1_000L).put("mem_mb", 65_536).put("gpus", 0);
        ArrayNode l = n.putArray("labels");
        labels.forEach(l::add);
        n.put("clock_ms", clockMs()).put("born", born).put("seq", beat);
        store.put("keyed.servers", id, n.toString().getBytes(StandardCharsets.UTF_8));
    }

    private long clockMs() {
        return Trace.nowMs() - bootedAtMs;
    }

    private void handle(HttpExchange call) throws Exception {
        JsonNode body = Http.JSON.readTree(call.getRequestBody().readAllBytes());
        String path = call.getRequestURI().getPath();
        String expected = call.getRequestHeaders().getFirst("Gooseberrypier-Expect-Instance");
        Http.sleepMicros(linkMicros);
        ObjectNode answer = Http.JSON.createObjectNode();
        int status;
        synchronized (this) {
            long boot = born;
            status = expected == null || expected.equals(id) ? serve(path, body, answer) : MISDIRECTED;
            if (!up || born != boot) {
                throw new IOException("the minion has crashed");
            }
            answer.put("clock_ms", clockMs()).put("born", born);
        }
        Http.sleepMicros(linkMicros + (path.equals("/api/hold") ? holdAnswerDelayMs * 1_000 : 0));
        Http.replyJson(call, status, answer);
    }

    private int serve(String path, JsonNode body, ObjectNode answer) throws InterruptedException {
        long given = body.path("fencing_token").asLong();
        if (given < token) {
            answer.put("reason", "fence");
            return CONFLICT;
        }
        token = given;
        if (body.has("deadline_ms")) {
            leaseMs = Math.max(leaseMs, Math.min(body.path("deadline_ms").asLong(), clockMs() + MAX_LEASE_MS));
        }
        return switch (path) {
            case "/api/run-start" -> start(body, answer);
            case "/api/run-stop" -> stop(body);
            case "/api/hold" -> hold(body, answer);
            default -> NOT_FOUND;
        };
    }

    private int start(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Run known = running.get(task);
        if (known != null && known.attempt == attempt) {
            return OK;
        }
        String reason = "";
        if (known != null || attempt <= highestEnded.getOrDefault(task, 0)) {
            reason = "old";
        } else if (body.path("deadline_ms").asLong() <= clockMs()) {
            reason = "late";
        } else if (running.size() >= cores) {
            reason = "room";
        }
        if (!reason.isEmpty()) {
            Trace.log("minion %s refuses %s attempt=%d reason=%s", id, task, attempt, reason);
            answer.put("reason", reason);
            return CONFLICT;
        }
        Run run = new Run(task, attempt, Long.parseLong(body.path("spec").asText()), this);
        running.put(task, run);
        runs.add(run);
        Trace.log("minion %s starts %s attempt=%d born=%d token=%d", id, task, attempt, born, token);
        return OK;
    }

    private int stop(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Run run = running.get(task);
        if (run != null && run.attempt == attempt) {
            end(run, "stopped");
        }
        highestEnded.merge(task, attempt, Math::max);
        return OK;
    }

    private int hold(JsonNode body, ObjectNode answer) throws InterruptedException {
        long lastSeen = body.path("last_seen").asLong();
        ends.removeIf(e -> e.number() <= lastSeen);
        long untilMs = Trace.nowMs() + body.path("wait_ms").asLong();
        long boot = born;
        while (up && born == boot && ends.isEmpty() && Trace.nowMs() < untilMs) {
            wait(Math.max(1, untilMs - Trace.nowMs()));
        }
        ArrayNode list = answer.putArray("running");
        for (Run r : running.values()) {
            long percent = Math.min(99, 100 * (Trace.nowMs() - r.startedAtMs) / Math.max(1, r.workMs));
            list.addArray().add(r.task).add(r.attempt).add("").add(percent);
        }
        ArrayNode finished = answer.putArray("finished");
        for (End e : ends) {
            finished.addArray().add(e.number()).add(e.run().task).add(e.run().attempt).add(e.run().how).add("");
        }
        return OK;
    }

    private void end(Run run, String how) {
        run.endedAtMs = Trace.nowMs();
        run.how = how;
        running.remove(run.task);
        highestEnded.merge(run.task, run.attempt, Math::max);
        ends.add(new End(++lastEnd, run));
        Trace.log("minion %s ends %s attempt=%d how=%s", id, run.task, run.attempt, how);
        notifyAll();
    }

    private void runTimers() {
        while (true) {
            Http.sleepMicros(2_000);
            synchronized (this) {
                for (Run r : List.copyOf(running.values())) {
                    if (Trace.nowMs() >= r.startedAtMs + r.workMs) {
                        end(r, "done");
                    } else if (clockMs() > leaseMs) {
                        end(r, "lapsed");
                    }
                }
            }
        }
    }
}
