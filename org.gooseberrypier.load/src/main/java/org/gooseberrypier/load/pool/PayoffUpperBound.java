package org.gooseberrypier.load.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The payoff that no dispatcher can exceed on a load: the endpoints' cores work all the time, on the jobs with the most
 * payoff for their work, and each of these is answered in time. An endpoint works on no more tasks at a time than would fit if
 * all were as small as the smallest.
 */
final class PayoffUpperBound {

    private PayoffUpperBound() {}

    /**
     * Returns the bound.
     *
     * @param load the load
     * @param arrivals its jobs
     * @param endpoints the endpoints, the faulty ones first
     * @param faulty how many are faulty in the middle third
     * @param lengthMs how long jobs arrive and are worked on, in milliseconds
     * @return payoff
     */
    static double of(
            PoolLoad load, List<PoolArrival> arrivals, List<EmulatedEndpoint> endpoints, int faulty, long lengthMs) {
        long smallest =
                arrivals.stream().mapToLong(a -> a.job().milliCores()).min().orElse(1);
        double cores = 0;
        double places = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            EmulatedEndpoint e = endpoints.get(i);
            double share = i < faulty ? availableShare(load.fault()) : 1;
            cores += e.registration.milliCores() / e.durationFactor * lengthMs * share;
            places += (double) (e.registration.milliCores() / smallest) / e.durationFactor * lengthMs * share;
        }
        double byCores = earn(arrivals, cores, a -> work(a) * a.job().milliCores());
        return Math.min(byCores, earn(arrivals, places, PayoffUpperBound::work));
    }

    /** Returns the payoff of the jobs that earn the most for what they take, while there is something left to take. */
    private static double earn(List<PoolArrival> arrivals, double capacity, ToDoubleFunction<PoolArrival> takes) {
        List<PoolArrival> best = new ArrayList<>(arrivals);
        best.removeIf(a -> !a.isCounted());
        best.sort(Comparator.comparingDouble(a -> -a.payoff() / takes.applyAsDouble(a)));
        double left = capacity;
        double earned = 0;
        for (PoolArrival a : best) {
            double part = Math.min(1, left / takes.applyAsDouble(a));
            earned += part * a.payoff();
            left -= part * takes.applyAsDouble(a);
        }
        return earned;
    }

    private static double availableShare(PoolLoad.Fault fault) {
        return switch (fault) {
            case NONE -> 1;
            case SLOW -> 1 - (1 - 1 / EmulatedEndpoint.FAULT_DURATION_FACTOR) / 3;
            case CRASHED, FAILING -> 1 - 1.0 / 3;
        };
    }

    private static double work(PoolArrival a) {
        return (double) a.job().tasks() * a.workMs();
    }
}
