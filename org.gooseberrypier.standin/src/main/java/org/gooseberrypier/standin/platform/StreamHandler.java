package org.gooseberrypier.standin.platform;

import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.LogRecord;

/** Handles appends to the streams of a {@link LogStore}, and reads, which may wait for the next record. */
final class StreamHandler {

    private static final int DEFAULT_MAX_RECORDS = 1_000;
    private static final long DEFAULT_MAX_BYTES = 8L << 20;
    private static final long MAX_WAIT_MS = 60_000;
    private static final int MAX_RECORD_BYTES = 16 << 20;
    private static final long RANDOM_SEED = 1;

    private final LogStore store;
    private final EventLoopGroup group;
    private final WaitingReads waiting = new WaitingReads();
    private final AppendRateLimiter rate = new AppendRateLimiter();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(RANDOM_SEED);

    StreamHandler(LogStore store, EventLoopGroup group) {
        this.store = store;
        this.group = group;
    }

    void append(HttpCall call, String stream, Faults faults) {
        long nowMs = System.currentTimeMillis();
        if (call.body().length > MAX_RECORD_BYTES) {
            Replies.error(call, Replies.TOO_LARGE, "a record has at most " + MAX_RECORD_BYTES + " bytes");
            return;
        }
        if (!rate.tryAcquire(faults.maxAppendsPerSecond(), nowMs)) {
            Replies.error(
                    call, Replies.TOO_MANY_REQUESTS, "more than " + faults.maxAppendsPerSecond() + " appends a second");
            return;
        }
        LogRecord record = store.append(stream, Payload.wrap(call.body()), nowMs);
        store.expireAll(nowMs - faults.retentionMs(), faults.maxStreamBytes());
        waiting.answerAll(stream);
        if (loseAnswer(faults)) {
            return;
        }
        ObjectNode json = Replies.MAPPER.createObjectNode();
        json.put("offset", record.offset());
        json.put("appendedAtMs", record.appendedAtMs());
        Replies.ok(call, json);
    }

    void read(HttpCall call, String stream, RequestTarget target, Faults faults) throws BadRequestException {
        long from = target.longParameter("from", 0, 0, Long.MAX_VALUE);
        int max = (int) target.longParameter("max", DEFAULT_MAX_RECORDS, 1, Integer.MAX_VALUE);
        long maxBytes = target.longParameter("maxBytes", DEFAULT_MAX_BYTES, 1, Long.MAX_VALUE);
        long waitMs = target.longParameter("waitMs", 0, 0, MAX_WAIT_MS);
        store.expireAll(System.currentTimeMillis() - faults.retentionMs(), faults.maxStreamBytes());
        Runnable answer = () -> reply(call, store.read(stream, from, max, maxBytes));
        boolean hasRecords = store.read(stream, from, 1).nextOffset() > from;
        if (hasRecords || waitMs == 0 || !waiting.add(stream, answer)) {
            answer.run();
            return;
        }
        call.onDisconnect(() -> waiting.remove(stream, answer));
        group.schedule(() -> expire(stream, answer), waitMs, TimeUnit.MILLISECONDS);
        if (store.read(stream, from, 1).nextOffset() > from) {
            expire(stream, answer);
        }
    }

    private void expire(String stream, Runnable answer) {
        if (waiting.remove(stream, answer)) {
            answer.run();
        }
    }

    private synchronized boolean loseAnswer(Faults faults) {
        return faults.lostAnswers() > 0 && random.nextDouble() < faults.lostAnswers();
    }

    private static void reply(HttpCall call, LogStore.Page page) {
        ObjectNode json = Replies.MAPPER.createObjectNode();
        json.put("firstOffset", page.firstOffset());
        json.put("nextOffset", page.nextOffset());
        ArrayNode list = json.putArray("records");
        for (LogRecord r : page.records()) {
            ObjectNode node = list.addObject();
            node.put("offset", r.offset());
            node.put("appendedAtMs", r.appendedAtMs());
            node.put("data", r.data().text());
        }
        Replies.ok(call, json);
    }
}
