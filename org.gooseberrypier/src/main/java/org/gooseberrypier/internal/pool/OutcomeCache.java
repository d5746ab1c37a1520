package org.gooseberrypier.internal.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gooseberrypier.pool.JobOutcome;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;

/** Caches the outcomes of recently ended jobs, for callers that submit a job again. */
final class OutcomeCache {

    /** Retention time, in milliseconds; longer than a caller takes to submit a job again. */
    private static final long RETENTION_MS = 10_000;

    /** Limit of outcomes: three times the jobs that end within the retention time at the largest known site. */
    private static final int MAX_OUTCOMES = 20_000;

    private final Map<String, Entry> outcomes = new LinkedHashMap<>();

    private record Entry(JobOutcome outcome, Set<VmIncarnation> receivers, long sentAtMs) {}

    /** Records the outcome of a job and the entry VMs to which it is sent. */
    void put(String job, JobOutcome outcome, Set<VmIncarnation> receivers, long now) {
        outcomes.remove(job);
        outcomes.put(job, new Entry(outcome, Set.copyOf(receivers), now));
        if (outcomes.size() > MAX_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    /**
     * Returns the outcome that a forwarded job has already: that of a completed job, and a refusal that the entry VM had not
     * received when it forwarded the job again. A refusal tells that the job never runs, so that it must not be admitted.
     */
    Optional<JobOutcome> find(VmIncarnation from, PoolMessage.ForwardJob message, long now) {
        Entry entry = outcomes.get(message.job().id());
        if (entry == null) {
            return Optional.empty();
        }
        // No other owner has had the job, and it was submitted before it was refused.
        boolean refused = entry.outcome() instanceof JobOutcome.Refused
                && message.earlierOwners() == 1
                && now - message.ageMs() <= entry.sentAtMs()
                && entry.receivers().contains(from);
        return entry.outcome() instanceof JobOutcome.Completed || refused
                ? Optional.of(entry.outcome())
                : Optional.empty();
    }

    /** Removes the outcome of an earlier submission of a job. */
    void remove(String job) {
        outcomes.remove(job);
    }

    void expire(long now) {
        Iterator<Entry> i = outcomes.values().iterator();
        while (i.hasNext() && now - i.next().sentAtMs() >= RETENTION_MS) {
            i.remove();
        }
    }

    void clear() {
        outcomes.clear();
    }
}
