package rig;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Stand-in for the platform's store: a log of topics with one partition each (log-append, log-read, log-newest). */
final class Store implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Recorder record;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final List<Http> servers = new ArrayList<>();

    Store(Recorder record) {
        this.record = record;
    }

    /** Opens an address for one VM; while {@code refuses} is set, its calls are answered 503 and nothing is done. */
    final class Door {
        final InetSocketAddress address;
        volatile boolean refuses;

        Door(String ip) throws IOException {
            Http h = new Http(new InetSocketAddress(ip, 0), (path, query, body, id) -> {
                if (refuses) {
                    return Http.Reply.json(503, "{}");
                }
                return handle(path, parse(query), body);
            });
            servers.add(h);
            address = h.address();
        }
    }

    Door open(String ip) throws IOException {
        return new Door(ip);
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> values = new HashMap<>();
        for (String p : query.split("&")) {
            int eq = p.indexOf('=');
            if (eq > 0) {
                values.put(p.substring(0, eq), java.net.URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    /** Appends a record of a keyed topic, as the operator or a minion does. */
    synchronized void put(String topic, String key, String value) {
        byte[] k = key.getBytes(StandardCharsets.UTF_8);
        byte[] v = value.getBytes(StandardCharsets.UTF_8);
        byte[] content = ByteBuffer.allocate(1 + k.length + v.length).put((byte) k.length).put(k).put(v).array();
        records(topic).add(content);
        notifyAll();
    }

    /** Returns the value of the newest record of a topic, or an empty text. */
    synchronized String newest(String topic) {
        List<byte[]> all = records(topic);
        if (all.isEmpty()) {
            return "";
        }
        byte[] c = all.get(all.size() - 1);
        return new String(c, 1 + c[0], c.length - 1 - c[0], StandardCharsets.UTF_8);
    }

    private List<byte[]> records(String topic) {
        return topics.computeIfAbsent(topic, t -> new ArrayList<>());
    }

    private synchronized Http.Reply handle(String path, Map<String, String> q, byte[] body)
            throws IOException, InterruptedException {
        String topic = q.getOrDefault("topic", "");
        switch (path) {
            case "/api/log-append":
                return append(topic, q, body);
            case "/api/log-read":
                return read(topic, q);
            case "/api/log-newest":
                return newest(topic, q.getOrDefault("depends_on", ""));
            default:
                return Http.Reply.json(404, "{}");
        }
    }

    private Http.Reply append(String topic, Map<String, String> q, byte[] body) {
        List<byte[]> all = records(topic);
        int end = all.size();
        if (q.containsKey("at") && Integer.parseInt(q.get("at")) != end) {
            return Http.Reply.json(412, "{\"end\":" + end + "}");
        }
        ByteBuffer b = ByteBuffer.wrap(body);
        while (b.remaining() >= 4) {
            byte[] content = new byte[b.getInt()];
            b.get(content);
            all.add(content);
            record.write("store append topic=" + topic + " offset=" + (all.size() - 1) + " value="
                    + new String(content, 1 + content[0], content.length - 1 - content[0], StandardCharsets.UTF_8));
        }
        notifyAll();
        return Http.Reply.json(200, "{\"offset\":" + end + ",\"end\":" + all.size() + "}");
    }

    private Http.Reply read(String topic, Map<String, String> q) throws IOException, InterruptedException {
        int from = Integer.parseInt(q.getOrDefault("from", "0"));
        long until = System.nanoTime() + Long.parseLong(q.getOrDefault("wait_ms", "0")) * 1_000_000;
        List<byte[]> all = records(topic);
        while (all.size() <= from && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(all.size());
        out.writeLong(0);
        for (int i = from; i < all.size() && bytes.size() < 1 << 20; i++) {
            out.writeInt(all.get(i).length);
            out.write(all.get(i));
        }
        return new Http.Reply(200, "application/octet-stream", bytes.toByteArray());
    }

    private Http.Reply newest(String topic, String after) {
        TreeMap<String, ObjectNode> newest = new TreeMap<>();
        List<byte[]> all = records(topic);
        for (int i = 0; i < all.size(); i++) {
            byte[] c = all.get(i);
            String key = new String(c, 1, c[0], StandardCharsets.UTF_8);
            if (c.length == 1 + c[0]) {
                newest.remove(key);
                continue;
            }
            byte[] value = java.util.Arrays.copyOfRange(c, 1 + c[0], c.length);
            newest.put(
                    key,
                    JSON.createObjectNode()
                            .put("key", key)
                            .put("value", Base64.getEncoder().encodeToString(value))
                            .put("offset", i));
        }
        ObjectNode body = JSON.createObjectNode().put("end", all.size());
        ArrayNode items = body.putArray("items");
        for (ObjectNode n : newest.tailMap(after, false).values()) {
            if (items.size() < 500) {
                items.add(n);
            }
        }
        body.put("more", newest.tailMap(after, false).size() > items.size());
        return Http.Reply.json(200, body.toString());
    }

    @Override
    public void close() {
        servers.forEach(Http::close);
    }
}
