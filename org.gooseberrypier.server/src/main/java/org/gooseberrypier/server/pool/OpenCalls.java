package org.gooseberrypier.server.pool;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.gooseberrypier.pool.JobOutcome;

/** Tracks the callers' calls that wait for the outcome of a job; several calls may wait for one job. Thread-safe. */
final class OpenCalls {

    private final Map<Long, Call> calls = new ConcurrentHashMap<>();
    private final Map<String, Integer> callsPerJob = new ConcurrentHashMap<>();
    private final AtomicLong last = new AtomicLong();

    /**
     * A call that waits for the outcome of its job.
     *
     * @param number the number of the call, unique within this process
     * @param job the job's identifier
     * @param outcome completed with the outcome of the job
     * @param startedNanos when the call arrived, by {@link System#nanoTime()}
     */
    record Call(long number, String job, CompletableFuture<JobOutcome> outcome, long startedNanos) {}

    Call open(String job) {
        Call call = new Call(last.incrementAndGet(), job, new CompletableFuture<>(), System.nanoTime());
        calls.put(call.number(), call);
        callsPerJob.merge(job, 1, Integer::sum);
        return call;
    }

    /** Removes a call and returns it; returns empty if it was removed before. */
    Optional<Call> remove(long number) {
        Call call = calls.remove(number);
        if (call != null) {
            callsPerJob.computeIfPresent(call.job(), (j, n) -> n > 1 ? n - 1 : null);
        }
        return Optional.ofNullable(call);
    }

    boolean isInFlight(String job) {
        return callsPerJob.containsKey(job);
    }
}
