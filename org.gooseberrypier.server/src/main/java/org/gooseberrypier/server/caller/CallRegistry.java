package org.gooseberrypier.server.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.gooseberrypier.http.HttpCall;

/** Tracks the calls that wait for an answer. Each call has a number that is not reused. */
final class CallRegistry {

    private final int maxCalls;
    private final Map<Long, PendingCall> calls = new ConcurrentHashMap<>();
    private final AtomicLong lastCall = new AtomicLong();

    CallRegistry(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /** Adds a call and returns its number; returns empty if the maximum number of calls waits already. */
    Optional<Long> add(HttpCall call, AnswerFormat format) {
        if (calls.size() >= maxCalls) {
            return Optional.empty();
        }
        long id = lastCall.incrementAndGet();
        calls.put(id, new PendingCall(call, format, System.nanoTime()));
        return Optional.of(id);
    }

    /** Removes a call and returns it; returns empty if it was removed before. */
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
     * @param format the format of a complete answer
     * @param startedNanos when the call arrived, by {@link System#nanoTime()}
     */
    record PendingCall(HttpCall http, AnswerFormat format, long startedNanos) {}
}
