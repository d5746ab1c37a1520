package org.gooseberrypier.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.platform.standin.StandinEndpoint;

/** Notes all runs of all endpoints, and what callers and cuts did, on one clock, and finds runs of a task that overlap. */
final class RunBook {

    private final long startNanos = System.nanoTime();
    private final Map<String, List<Run>> runs = new HashMap<>();
    private final Map<String, List<String>> callers = new HashMap<>();
    private final List<CutTime> cuts = new ArrayList<>();
    private int started;

    private record CutTime(Cut cut, double at) {}

    /** A run at an endpoint; it is at work while it has no end. */
    private static final class Run {
        private final int attempt;
        private final String place;
        private final long token;
        private final int vm;
        private final double start;
        private double end = Double.POSITIVE_INFINITY;
        private String how = "running";

        Run(int attempt, String place, long token, int vm, double start) {
            this.attempt = attempt;
            this.place = place;
            this.token = token;
            this.vm = vm;
            this.start = start;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "run %d on %s token %d of vm %d, %.3f to %.3f %s",
                    attempt,
                    place,
                    token,
                    vm,
                    start,
                    end,
                    how);
        }
    }

    /**
     * Two runs of one task at once.
     *
     * @param task the task
     * @param job its job
     * @param cut the newest cut that began before the second run
     * @param afterCut the time from its beginning to the start of the second run, in seconds
     * @param text the case in full
     */
    record DoubleRun(String task, String job, String cut, double afterCut, String text) {}

    /** Returns the time since the book was opened, in seconds. */
    double now() {
        return (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    }

    /** Returns the listener of an endpoint. */
    StandinEndpoint.RunListener at(String endpoint, String zone) {
        return new StandinEndpoint.RunListener() {
            @Override
            public void started(String task, int attempt, long token, String dialled) {
                start(task, new Run(attempt, endpoint + " in " + zone, token, Addresses.dialledBy(dialled), now()));
            }

            @Override
            public void ended(String task, int attempt, String cause) {
                end(task, attempt, endpoint + " in " + zone, cause);
            }
        };
    }

    private synchronized void start(String task, Run run) {
        started++;
        runs.computeIfAbsent(task, t -> new ArrayList<>(1)).add(run);
    }

    private synchronized void end(String task, int attempt, String place, String cause) {
        for (Run r : runs.getOrDefault(task, List.of())) {
            if (r.attempt == attempt && r.place.equals(place) && r.end == Double.POSITIVE_INFINITY) {
                r.end = now();
                r.how = cause;
            }
        }
    }

    /** Notes what a caller did. */
    synchronized void caller(String job, String what) {
        callers.computeIfAbsent(job, j -> new ArrayList<>(2)).add(String.format(Locale.ROOT, "%.3f %s", now(), what));
    }

    /** Notes the beginning of a cut. */
    synchronized void cut(Cut cut) {
        cuts.add(new CutTime(cut, now()));
    }

    synchronized int started() {
        return started;
    }

    /** Returns all cases of two runs of one task at once. */
    synchronized List<DoubleRun> doubleRuns() {
        List<DoubleRun> found = new ArrayList<>();
        runs.forEach((task, all) -> {
            for (int i = 1; i < all.size(); i++) {
                for (int k = 0; k < i; k++) {
                    if (all.get(k).end > all.get(i).start) {
                        found.add(doubleRun(task, all.get(k), all.get(i)));
                    }
                }
            }
        });
        return found;
    }

    private DoubleRun doubleRun(String task, Run first, Run second) {
        String job = task.substring(0, task.indexOf('.'));
        CutTime last = null;
        for (CutTime c : cuts) {
            last = c.at() <= second.start ? c : last;
        }
        double after = last == null ? -1 : second.start - last.at();
        String cut = last == null ? "no cut" : last.cut().toString();
        String text = String.format(
                Locale.ROOT,
                "TWICE task %s%n  %s%n  %s%n  %.3f s after the beginning of %s%n  callers: %s",
                task,
                first,
                second,
                after,
                cut,
                String.join("; ", callers.getOrDefault(job, List.of())));
        return new DoubleRun(task, job, cut, after, text);
    }
}
