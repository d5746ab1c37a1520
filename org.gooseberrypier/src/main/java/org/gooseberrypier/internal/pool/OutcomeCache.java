package org.gooseberrypier.internal.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberrypier.pool.JobOutcome;

/** The outcomes of jobs that ended lately, for callers that send a job again. */
final class OutcomeCache {

    /** Longer than a caller takes to send a job again, in milliseconds. */
    private static final long KEPT_MS = 10_000;

    /** Three times what ends within that time on the largest known site. */
    private static final int MAX_KEPT = 20_000;

    private final Map<String, Kept> kept = new LinkedHashMap<>();

    private record Kept(JobOutcome outcome, long untilMs) {}

    void put(String job, JobOutcome outcome, long now) {
        kept.remove(job);
        kept.put(job, new Kept(outcome, now + KEPT_MS));
        if (kept.size() > MAX_KEPT) {
            kept.remove(kept.keySet().iterator().next());
        }
    }

    boolean isCompleted(String job) {
        Kept k = kept.get(job);
        return k != null && k.outcome() instanceof JobOutcome.Completed;
    }

    void expire(long now) {
        Iterator<Kept> i = kept.values().iterator();
        while (i.hasNext() && i.next().untilMs() <= now) {
            i.remove();
        }
    }

    void clear() {
        kept.clear();
    }
}
