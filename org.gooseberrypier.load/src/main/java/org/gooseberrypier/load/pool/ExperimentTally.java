package org.gooseberrypier.load.pool;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Adds up what jobs were owed and earned, in all, by window and by queue. */
final class ExperimentTally {

    /** The length of a window, in milliseconds: that of the users' bench. */
    private static final long WINDOW_MS = 2_000;

    private final Share all = new Share();
    private final Map<Long, Share> windows = new TreeMap<>();
    private final Map<String, Share> queues = new TreeMap<>();
    private final Map<ExperimentResult.Loss, Double> lost = new EnumMap<>(ExperimentResult.Loss.class);
    private int jobs;
    private int refusedAtOnce;
    private int refusedLate;

    private static final class Share {
        private double owed;
        private double earned;

        void add(double worth, double gain) {
            owed += worth;
            earned += gain;
        }

        double value() {
            return owed == 0 ? 1 : earned / owed;
        }
    }

    /** Takes a job that was owed an answer; the reason counts for what it did not earn. */
    void add(PoolArrival job, double gain, ExperimentResult.Loss reason) {
        jobs++;
        all.add(job.payoff(), gain);
        windows.computeIfAbsent(job.arrivalMs() / WINDOW_MS, w -> new Share()).add(job.payoff(), gain);
        queues.computeIfAbsent(job.job().queue(), q -> new Share()).add(job.payoff(), gain);
        if (gain < job.payoff()) {
            lost.merge(reason, job.payoff() - gain, Double::sum);
        }
    }

    /** Takes a refusal that came so long after its job. */
    void addRefusal(long tookMs) {
        if (tookMs <= PoolExperiment.IMMEDIATE_REFUSAL_MS) {
            refusedAtOnce++;
        } else {
            refusedLate++;
        }
    }

    ExperimentResult result(double reference, int wastedStarts) {
        Map<String, Double> byQueue = new TreeMap<>();
        queues.forEach((q, share) -> byQueue.put(q, share.value()));
        Map<ExperimentResult.Loss, Double> shares = new EnumMap<>(ExperimentResult.Loss.class);
        lost.forEach((why, worth) -> shares.put(why, worth / all.owed));
        double worst = windows.values().stream().mapToDouble(Share::value).min().orElse(1);
        return new ExperimentResult(
                jobs,
                all.value(),
                all.owed == 0 ? 1 : reference / all.owed,
                worst,
                byQueue,
                refusedAtOnce,
                refusedLate,
                wastedStarts,
                shares);
    }
}
