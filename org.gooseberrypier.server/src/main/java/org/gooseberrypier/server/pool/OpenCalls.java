package org.gooseberrypier.server.pool;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.gooseberrypier.pool.JobOutcome;

/** The calls of callers that wait for their jobs; several may wait for one job. May be used on any thread. */
final class OpenCalls {

    private final Map<Long, Call> calls = new ConcurrentHashMap<>();
    private final Map<String, Integer> inFlight = new ConcurrentHashMap<>();
    private final AtomicLong last = new AtomicLong();

    /** One call, and when it came on the steady clock. */
    record Call(long number, String job, CompletableFuture<JobOutcome> outcome, long startedNanos) {}

    Call open(String job) {
        Call call = new Call(last.incrementAndGet(), job, new CompletableFuture<>(), System.nanoTime());
        calls.put(call.number(), call);
        inFlight.merge(job, 1, Integer::sum);
        return call;
    }

    /** Takes a call out, or nothing if it was taken out before. */
    Optional<Call> remove(long number) {
        Call call = calls.remove(number);
        if (call != null) {
            inFlight.computeIfPresent(call.job(), (j, n) -> n > 1 ? n - 1 : null);
        }
        return Optional.ofNullable(call);
    }

    boolean isInFlight(String job) {
        return inFlight.containsKey(job);
    }
}
