package rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of the platform's store: topics with one partition, appends under a condition, reads that wait, and the newest
 * record of each key. Each VM gets an address of its own, so that the record shows which VM calls.
 */
final class Store {

    /** "4 ms an answer": the time that the store takes for an answer. */
    private static final long ANSWER_MICROS = 4_000;

    private final Map<String, List<byte[]>> topics = new HashMap<>();
    /** Opens an address for one VM. */
    String open(String vm, String ip) throws IOException {
        HttpServer server = Http.listen(ip, 0, call -> handle(vm, call));
        return ip + ":" + server.getAddress().getPort();
    }

    /** Writes a record of a keyed topic, as the operator or a minion does. */
    synchronized void put(String topic, String key, byte[] value) {
        byte[] k = key.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + k.length + value.length);
        record.put((byte) k.length).put(k).put(value);
        topic(topic).add(record.array());
        notifyAll();
    }

    /** Returns the newest value of a key, or null. */
    synchronized byte[] newest(String topic, String key) {
        byte[][] found = newest(topic).get(key);
        return found == null ? null : found[0];
    }

    private List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, n -> new ArrayList<>());
    }

    private void handle(String vm, HttpExchange call) throws Exception {
        byte[] body = call.getRequestBody().readAllBytes();
        Map<String, String> q = Http.query(call);
        Http.sleepMicros(ANSWER_MICROS);
        switch (call.getRequestURI().getPath()) {
            case "/api/log-append" -> append(vm, call, q, body);
            case "/api/log-read" -> read(call, q);
            case "/api/log-newest" -> replyNewest(call, q.get("topic"));
            default -> Http.reply(call, 404, new byte[0]);
        }
    }

    private void append(String vm, HttpExchange call, Map<String, String> q, byte[] body) throws IOException {
        ObjectNode answer = Http.JSON.createObjectNode();
        int status = 200;
        synchronized (this) {
            List<byte[]> records = topic(q.get("topic"));
            if (q.containsKey("at") && Long.parseLong(q.get("at")) != records.size()) {
                status = 412;
                answer.put("end", records.size());
            } else {
                answer.put("offset", records.size());
                ByteBuffer in = ByteBuffer.wrap(body);
                while (in.remaining() >= 4) {
                    byte[] record = new byte[in.getInt()];
                    in.get(record);
                    records.add(record);
                }
                answer.put("end", records.size());
                notifyAll();
            }
        }
        Trace.log("store: append by %s to %s: %d %s", vm, q.get("topic"), status, answer);
        Http.replyJson(call, status, answer);
    }

    private void read(HttpExchange call, Map<String, String> q) throws Exception {
        int from = Integer.parseInt(q.get("from"));
        long untilMs = Trace.nowMs() + Long.parseLong(q.getOrDefault("wait_ms", "0"));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            List<byte[]> records = topic(q.get("topic"));
            while (records.size() <= from && Trace.nowMs() < untilMs) {
                wait(Math.max(1, untilMs - Trace.nowMs()));
            }
            out.write(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
            for (int i = from; i < records.size(); i++) {
                out.write(ByteBuffer.allocate(4).putInt(records.get(i).length).array());
                out.write(records.get(i));
            }
        }
        Http.reply(call, 200, out.toByteArray());
    }

    /** Returns value and offset (as text) of the newest record of each key; a record without a value drops its key. */
    private Map<String, byte[][]> newest(String topic) {
        Map<String, byte[][]> newest = new LinkedHashMap<>();
        List<byte[]> records = topic(topic);
        for (int i = 0; i < records.size(); i++) {
            byte[] r = records.get(i);
            int end = 1 + (r[0] & 0xff);
            String key = new String(r, 1, end - 1, StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(r, end, r.length);
            newest.remove(key);
            if (value.length > 0) {
                newest.put(key, new byte[][] {value, Integer.toString(i).getBytes(StandardCharsets.UTF_8)});
            }
        }
        return newest;
    }

    private void replyNewest(HttpExchange call, String topic) throws IOException {
        ObjectNode answer = Http.JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        synchronized (this) {
            newest(topic).forEach((key, v) -> items.addObject()
                    .put("key", key)
                    .put("value", Base64.getEncoder().encodeToString(v[0]))
                    .put("offset", Long.parseLong(new String(v[1], StandardCharsets.UTF_8))));
            answer.put("more", false).put("end", topic(topic).size());
        }
        Http.replyJson(call, 200, answer);
    }
}
