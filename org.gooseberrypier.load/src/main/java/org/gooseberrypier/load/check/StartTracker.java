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
 * Records every start of every task at the stand-in endpoints, independently of the dispatcher.
 *
 * <p>Starts are recorded under the caller's own names of job and task, which the dispatcher only passes on in the body.
 * A second start under another {@code Job-Id} is therefore found too.
 */
public final class StartTracker implements EndpointListener {

    private static final long MAX_STARTS = 5_000_000;

    private final Map<String, Map<Integer, List<TaskStart>>> starts = new ConcurrentHashMap<>();
    private final Map<Waste, AtomicLong> wasted = new EnumMap<>(Waste.class);
    private final AtomicLong count = new AtomicLong();
    private final Queue<Long> failedAtMs = new ConcurrentLinkedQueue<>();
    private final AtomicLong refused = new AtomicLong();

    /** Creates a tracker without starts. */
    public StartTracker() {
        for (Waste w : Waste.values()) {
            wasted.put(w, new AtomicLong());
        }
    }

    @Override
    public void started(TaskStart start) {
        if (count.incrementAndGet() > MAX_STARTS) {
            throw new InvariantViolationException("more than " + MAX_STARTS + " starts recorded");
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
     * @return the starts of each task that started at least once
     */
    public Collection<List<TaskStart>> starts(String job) {
        return starts.getOrDefault(job, Map.of()).values();
    }

    /**
     * Returns the names of all jobs of which a task started.
     *
     * @return the callers' own names
     */
    public Collection<String> jobs() {
        return starts.keySet();
    }

    /**
     * Returns the number of starts at an endpoint since a time.
     *
     * @param endpoint the name of the endpoint
     * @param fromMs the first time to count, in milliseconds since the epoch
     * @return the number of starts
     */
    public long startsFrom(String endpoint, long fromMs) {
        return starts.values().stream()
                .flatMap(job -> job.values().stream())
                .flatMap(List::stream)
                .filter(s -> s.endpoint().equals(endpoint) && s.startedAtMs() >= fromMs)
                .count();
    }

    /**
     * Returns the number of starts after the first start of their task.
     *
     * @param repeatable true to count tasks that may start more than once, false to count the others
     * @return the number of starts
     */
    public long extraStarts(boolean repeatable) {
        long extraStarts = 0;
        for (Map<Integer, List<TaskStart>> job : starts.values()) {
            for (List<TaskStart> task : job.values()) {
                extraStarts += task.get(0).body().repeatable() == repeatable ? task.size() - 1 : 0;
            }
        }
        return extraStarts;
    }

    /**
     * Returns the number of starts.
     *
     * @return the number of starts
     */
    public long startCount() {
        return count.get();
    }

    /**
     * Returns the number of starts since a time whose runs failed.
     *
     * @param fromMs the first time to count, in milliseconds since the epoch
     * @return the number of failed starts
     */
    public long failedStartsFrom(long fromMs) {
        return failedAtMs.stream().filter(t -> t >= fromMs).count();
    }

    /**
     * Returns the number of tasks that endpoints refused.
     *
     * @return the number of refused tasks
     */
    public long refused() {
        return refused.get();
    }

    /**
     * Returns the number of tasks whose result was of no use when they ended.
     *
     * @param reason why the result was of no use
     * @return the number of tasks
     */
    public long wasted(Waste reason) {
        return wasted.get(reason).get();
    }
}
