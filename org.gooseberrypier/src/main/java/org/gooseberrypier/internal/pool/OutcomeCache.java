package org.gooseberrypier.internal.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberrypier.pool.JobOutcome;

/** Caches the outcomes of recently ended jobs, for callers that submit a job again. */
final class OutcomeCache {

    /** Retention time, in milliseconds; longer than a caller takes to submit a job again. */
    private static final long RETENTION_MS = 10_000;

    /** Limit of outcomes: three times the jobs that end within the retention time at the largest known site. */
    private static final int MAX_OUTCOMES = 20_000;

    private final Map<String, Entry> outcomes = new LinkedHashMap<>();

    private record Entry(JobOutcome outcome, long untilMs) {}

    void put(String job, JobOutcome outcome, long now) {
        outcomes.remove(job);
        outcomes.put(job, new Entry(outcome, now + RETENTION_MS));
        if (outcomes.size() > MAX_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    boolean isCompleted(String job) {
        Entry entry = outcomes.get(job);
        return entry != null && entry.outcome() instanceof JobOutcome.Completed;
    }

    void expire(long now) {
        Iterator<Entry> i = outcomes.values().iterator();
        while (i.hasNext() && i.next().untilMs() <= now) {
            i.remove();
        }
    }

    void clear() {
        outcomes.clear();
    }
}
