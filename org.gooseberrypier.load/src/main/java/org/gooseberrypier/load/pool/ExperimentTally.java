package org.gooseberrypier.load.pool;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Sums up the full and the earned payoff of jobs: in total, by arrival window and by queue. */
final class ExperimentTally {

    /** Length of an arrival window, the same as in the users' benchmark. */
    private static final long WINDOW_MS = 2_000;

    private final Share all = new Share();
    private final Map<Long, Share> windows = new TreeMap<>();
    private final Map<String, Share> queues = new TreeMap<>();
    private final Map<ExperimentResult.Loss, Double> lost = new EnumMap<>(ExperimentResult.Loss.class);
    private int jobs;
    private int refusedAtOnce;
    private int refusedLate;

    private static final class Share {
        private double fullPayoff;
        private double earnedPayoff;

        void add(double payoff, double earned) {
            fullPayoff += payoff;
            earnedPayoff += earned;
        }

        double value() {
            return fullPayoff == 0 ? 1 : earnedPayoff / fullPayoff;
        }
    }

    /** Adds a job that is counted; the payoff that it did not earn is added to the losses with this reason. */
    void add(PoolArrival job, double earned, ExperimentResult.Loss reason) {
        jobs++;
        all.add(job.payoff(), earned);
        windows.computeIfAbsent(job.arrivalMs() / WINDOW_MS, w -> new Share()).add(job.payoff(), earned);
        queues.computeIfAbsent(job.job().queue(), q -> new Share()).add(job.payoff(), earned);
        if (earned < job.payoff()) {
            lost.merge(reason, job.payoff() - earned, Double::sum);
        }
    }

    /** Adds a refusal that was answered this long after the arrival of its job. */
    void addRefusal(long responseMs) {
        if (responseMs <= PoolExperiment.IMMEDIATE_REFUSAL_MS) {
            refusedAtOnce++;
        } else {
            refusedLate++;
        }
    }

    ExperimentResult result(double upperBound, int wastedStarts) {
        Map<String, Double> byQueue = new TreeMap<>();
        queues.forEach((q, share) -> byQueue.put(q, share.value()));
        Map<ExperimentResult.Loss, Double> shares = new EnumMap<>(ExperimentResult.Loss.class);
        lost.forEach((reason, payoff) -> shares.put(reason, payoff / all.fullPayoff));
        double worst = windows.values().stream().mapToDouble(Share::value).min().orElse(1);
        return new ExperimentResult(
                jobs,
                all.value(),
                all.fullPayoff == 0 ? 1 : upperBound / all.fullPayoff,
                worst,
                byQueue,
                refusedAtOnce,
                refusedLate,
                wastedStarts,
                shares);
    }
}
