package rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in for a minion: runs tasks under a lease, keeps the highest fencing token, lists ends until they are seen. A task
 * works for the number of milliseconds at the beginning of its {@code spec}.
 */
final class Minion implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HOLD_MAX_MS = 1_000;
    private static final long HEARTBEAT_MS = 1_500;

    /** What a minion says of itself. */
    record Kind(String service, String zone, String kind, String rack, long cpu, long memMb, boolean guards) {}

    /** Is told what happens on a minion. */
    interface Observer {
        default void started(Minion m, String task, int attempt, JsonNode order) {}

        default void ended(Minion m, String task, int attempt, String how) {}
    }

    private record Run(String task, int attempt, long startedMs, long worksMs, long cpu) {}

    private record End(long number, String task, int attempt, String how) {}

    final String id;
    final InetSocketAddress address;
    private final Store store;
    private final Recorder record;
    private final Observer observer;
    private Kind kind;
    private Http http;
    private Thread timer;
    private boolean up;

    // State of one life.
    private long born;
    private long bootNanos;
    private long token;
    private long deadlineMs;
    private long lastEnd;
    private long seq;
    private Map<String, Run> running = new LinkedHashMap<>();
    private Map<String, Integer> rejectedUpTo = new HashMap<>();
    private List<End> ends = new ArrayList<>();

    Minion(String id, String ip, Kind kind, Store store, Recorder record, Observer observer) throws IOException {
        this.id = id;
        this.address = new InetSocketAddress(ip, Ports.free(ip));
        this.kind = kind;
        this.store = store;
        this.record = record;
        this.observer = observer;
        boot(kind);
    }

    Kind kind() {
        return kind;
    }

    /** Starts a life: registers in the store, then serves. */
    synchronized void boot(Kind as) throws IOException {
        kind = as;
        born = System.currentTimeMillis();
        bootNanos = System.nanoTime();
        token = 0;
        deadlineMs = 0;
        lastEnd = 0;
        seq = 0;
        running = new LinkedHashMap<>();
        rejectedUpTo = new HashMap<>();
        ends = new ArrayList<>();
        up = true;
        record.write("minion " + id + " boots as kind=" + as.kind() + " cpu=" + as.cpu() + " at " + address);
        register("ready");
        http = new Http(address, this::handle);
        Http mine = http;
        timer = new Thread(() -> live(mine), "minion-" + id);
        timer.setDaemon(true);
        timer.start();
    }

    /** Crashes: everything that runs here is gone, and nothing is said. */
    void crash() {
        Http old;
        synchronized (this) {
            up = false;
            record.write("minion " + id + " crashes with " + running.size() + " runs");
            for (Run r : running.values()) {
                observer.ended(this, r.task(), r.attempt(), "crashed");
            }
            running.clear();
            old = http;
            http = null;
            notifyAll();
        }
        old.close();
    }

    private synchronized void register(String state) {
        ObjectNode n = JSON.createObjectNode();
        n.put("service", kind.service()).put("address", address.getHostString() + ":" + address.getPort());
        n.put("zone", kind.zone()).put("version", "1").put("slots", 8).put("state", state);
        n.put("cold_ms", 0).put("seq", ++seq).put("born", born);
        n.putArray("labels").add(kind.kind()).add(kind.rack());
        n.putObject("capacity").put("cpu", kind.cpu()).put("mem_mb", kind.memMb()).put("gpus", 0);
        store.put("keyed.servers", id, n.toString());
    }

    private void live(Http mine) {
        long nextBeat = System.nanoTime() + HEARTBEAT_MS * 1_000_000;
        while (true) {
            synchronized (this) {
                if (http != mine || !up) {
                    return;
                }
                endDue();
                if (System.nanoTime() >= nextBeat) {
                    nextBeat += HEARTBEAT_MS * 1_000_000;
                    register("ready");
                }
            }
            try {
                Thread.sleep(4);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private long clockMs() {
        return (System.nanoTime() - bootNanos) / 1_000_000;
    }

    private void endDue() {
        long now = clockMs();
        for (Run r : List.copyOf(running.values())) {
            if (now >= r.startedMs() + r.worksMs()) {
                end(r, "done");
            } else if (now > deadlineMs) {
                end(r, "lapsed");
            }
        }
    }

    private void end(Run r, String how) {
        running.remove(r.task());
        rejectedUpTo.merge(r.task(), r.attempt(), Math::max);
        ends.add(new End(++lastEnd, r.task(), r.attempt(), how));
        record.write("run " + r.task() + "#" + r.attempt() + " ends " + how + " on " + id);
        observer.ended(this, r.task(), r.attempt(), how);
        notifyAll();
    }

    private synchronized Http.Reply handle(String path, String query, byte[] body, String expected) throws Exception {
        if (!up) {
            return null;
        }
        if (path.equals("/health")) {
            return Http.Reply.json(200, "{}");
        }
        if (expected != null && !expected.equals(id)) {
            return Http.Reply.json(421, "{}");
        }
        endDue();
        JsonNode n = JSON.readTree(body);
        long given = n.path("fencing_token").asLong();
        if (given < token) {
            return conflict("fence");
        }
        token = given;
        if (n.has("deadline_ms")) {
            long asked = n.path("deadline_ms").asLong();
            deadlineMs = Math.max(deadlineMs, Math.min(asked, clockMs() + HOLD_MAX_MS));
        }
        switch (path) {
            case "/api/run-start":
                return start(n);
            case "/api/run-stop":
                return stop(n);
            case "/api/hold":
                return hold(n);
            default:
                return Http.Reply.json(404, "{}");
        }
    }

    private Http.Reply start(JsonNode n) {
        String task = n.path("task").asText();
        int attempt = n.path("attempt").asInt();
        Run there = running.get(task);
        if (there != null && there.attempt() == attempt) {
            return ok();
        }
        if (there != null || attempt <= rejectedUpTo.getOrDefault(task, 0)) {
            return conflict("old");
        }
        if (n.path("deadline_ms").asLong() <= clockMs()) {
            return conflict("late");
        }
        Specs.Spec s = Specs.parse(n.path("spec").asText());
        long used = running.values().stream().mapToLong(Run::cpu).sum();
        if (kind.guards() && used + s.cpu() > kind.cpu()) {
            return conflict("room");
        }
        running.put(task, new Run(task, attempt, clockMs(), s.worksMs(), s.cpu()));
        record.write("run " + task + "#" + attempt + " starts on " + id + " kind=" + kind.kind() + " cpu_in_use="
                + (used + s.cpu()) + " of " + kind.cpu());
        observer.started(this, task, attempt, n);
        return ok();
    }

    /** Returns the thousandths of a core that its runs use. */
    synchronized long cpuInUse() {
        return running.values().stream().mapToLong(Run::cpu).sum();
    }

    private Http.Reply stop(JsonNode n) {
        String task = n.path("task").asText();
        int attempt = n.path("attempt").asInt();
        Run r = running.get(task);
        if (r != null && r.attempt() <= attempt) {
            end(r, "stopped");
        }
        rejectedUpTo.merge(task, attempt, Math::max);
        return ok();
    }

    private Http.Reply hold(JsonNode n) throws InterruptedException {
        Http mine = http;
        long seen = n.path("last_seen").asLong();
        ends.removeIf(e -> e.number() <= seen);
        long until = System.nanoTime() + Math.min(2_000, n.path("wait_ms").asLong()) * 1_000_000;
        while (ends.isEmpty() && http == mine && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        if (http != mine) {
            return null;
        }
        ObjectNode out = JSON.createObjectNode().put("clock_ms", clockMs()).put("born", born);
        ArrayNode runs = out.putArray("running");
        for (Run r : running.values()) {
            long percent = Math.min(99, 100 * (clockMs() - r.startedMs()) / Math.max(1, r.worksMs()));
            runs.addArray().add(r.task()).add(r.attempt()).add("").add(percent).add(r.cpu());
        }
        ArrayNode finished = out.putArray("finished");
        for (End e : ends.subList(0, Math.min(500, ends.size()))) {
            finished.addArray().add(e.number()).add(e.task()).add(e.attempt()).add(e.how()).add("");
        }
        return Http.Reply.json(200, out.toString());
    }

    private Http.Reply ok() {
        return Http.Reply.json(200, "{\"clock_ms\":" + clockMs() + "}");
    }

    private Http.Reply conflict(String reason) {
        return Http.Reply.json(409, "{\"clock_ms\":" + clockMs() + ",\"reason\":\"" + reason + "\"}");
    }

    @Override
    public void close() {
        synchronized (this) {
            if (!up) {
                return;
            }
        }
        crash();
    }
}
