package org.gooseberrypier.load.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.gooseberrypier.errors.InvariantViolationException;
import org.gooseberrypier.standin.endpoint.EndpointListener;
import org.gooseberrypier.standin.endpoint.TaskStart;

/**
 * Counts every start of every task at the stand-in endpoints, outside the dispatcher.
 *
 * <p>Starts are kept by the caller's own names of job and task, which the dispatcher only carries in the body, so that
 * a start under another {@code Job-Id} is found too.
 */
public final class StartTracker implements EndpointListener {

    private static final long MAX_STARTS = 5_000_000;

    private final Map<String, Map<Integer, List<TaskStart>>> starts = new ConcurrentHashMap<>();
    private final Map<Waste, AtomicLong> wasted = new EnumMap<>(Waste.class);
    private final AtomicLong count = new AtomicLong();
    private final Queue<Long> failedAtMs = new ConcurrentLinkedQueue<>();
    private final AtomicLong refused = new AtomicLong();

    /** Creates an empty ledger. */
    public StartTracker() {
        for (Waste w : Waste.values()) {
            wasted.put(w, new AtomicLong());
        }
    }

    @Override
    public void started(TaskStart start) {
        if (count.incrementAndGet() > MAX_STARTS) {
            throw new InvariantViolationException("the ledger is full: " + MAX_STARTS + " starts");
        }
        starts.computeIfAbsent(start.body().job(), j -> new ConcurrentHashMap<>())
                .compute(start.body().index(), (i, list) -> {
                    List<TaskStart> all = list == null ? new ArrayList<>(1) : list;
                    all.add(start);
                    return all;
                });
    }

    @Override
    public void failed(TaskStart start) {
        failedAtMs.add(start.startedAtMs());
    }

    @Override
    public void refused(String endpoint) {
        refused.incrementAndGet();
    }

    @Override
    public void wasted(TaskStart start, Waste reason) {
        wasted.get(reason).incrementAndGet();
    }

    /**
     * Returns the starts of a job.
     *
     * @param job the caller's own name of the job
     * @return the starts of each of its tasks that started
     */
    public Collection<List<TaskStart>> starts(String job) {
        return starts.getOrDefault(job, Map.of()).values();
    }

    /**
     * Returns the names of all jobs with a start.
     *
     * @return the callers' own names
     */
    public Collection<String> jobs() {
        return starts.keySet();
    }

    /**
     * Returns how many starts an endpoint had from a time on.
     *
     * @param endpoint the name of the endpoint
     * @param fromMs milliseconds since the epoch
     * @return starts
     */
    public long startsFrom(String endpoint, long fromMs) {
        return starts.values().stream()
                .flatMap(job -> job.values().stream())
                .flatMap(List::stream)
                .filter(s -> s.endpoint().equals(endpoint) && s.startedAtMs() >= fromMs)
                .count();
    }

    /**
     * Returns how many starts came after the first start of their task.
     *
     * @param repeatable whether to count tasks that may start more than once, or else the others
     * @return starts
     */
    public long extraStarts(boolean repeatable) {
        long extra = 0;
        for (Map<Integer, List<TaskStart>> job : starts.values()) {
            for (List<TaskStart> task : job.values()) {
                extra += task.get(0).body().repeatable() == repeatable ? task.size() - 1 : 0;
            }
        }
        return extra;
    }

    /**
     * Returns how many starts there were.
     *
     * @return starts
     */
    public long startCount() {
        return count.get();
    }

    /**
     * Returns how many starts failed from a time on.
     *
     * @param fromMs milliseconds since the epoch
     * @return failed starts
     */
    public long failedStartsFrom(long fromMs) {
        return failedAtMs.stream().filter(t -> t >= fromMs).count();
    }

    /**
     * Returns how many tasks were refused by endpoints.
     *
     * @return refused tasks
     */
    public long refused() {
        return refused.get();
    }

    /**
     * Returns how many tasks ran in vain.
     *
     * @param reason why
     * @return tasks
     */
    public long wasted(Waste reason) {
        return wasted.get(reason).get();
    }
}
