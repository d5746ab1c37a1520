package org.gooseberrypier.server.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.gooseberrypier.http.HttpCall;

/** The calls that wait for an answer, each under a number that is never used again. */
final class CallRegistry {

    private final int maxCalls;
    private final Map<Long, PendingCall> calls = new ConcurrentHashMap<>();
    private final AtomicLong lastCall = new AtomicLong();

    CallRegistry(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /** Adds a call, unless too many wait already. */
    Optional<Long> add(HttpCall call, AnswerFormat format) {
        if (calls.size() >= maxCalls) {
            return Optional.empty();
        }
        long id = lastCall.incrementAndGet();
        calls.put(id, new PendingCall(call, format, System.nanoTime()));
        return Optional.of(id);
    }

    /** Takes a call out; only the first taker gets it. */
    Optional<PendingCall> take(long id) {
        return Optional.ofNullable(calls.remove(id));
    }

    int size() {
        return calls.size();
    }

    /**
     * A call that waits for its answer.
     *
     * @param http the call
     * @param format how a complete answer goes back
     * @param startedNanos when it came, by {@link System#nanoTime()}
     */
    record PendingCall(HttpCall http, AnswerFormat format, long startedNanos) {}
}
