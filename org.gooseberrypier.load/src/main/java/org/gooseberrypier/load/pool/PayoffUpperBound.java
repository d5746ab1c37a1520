package org.gooseberrypier.load.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Computes an upper bound on the payoff that any dispatcher can earn from a load.
 *
 * <p>The bound assumes that the cores of all endpoints work all the time, on the jobs with the highest payoff per unit
 * of work, and that each of these jobs is answered within its objective. An endpoint runs at most as many tasks at a
 * time as would fit if each task had the smallest core demand of the load.
 */
final class PayoffUpperBound {

    private PayoffUpperBound() {}

    /**
     * Computes the bound.
     *
     * @param load the load
     * @param arrivals the jobs of the load
     * @param endpoints the endpoints, the faulty ones first
     * @param faultyCount the number of endpoints that are faulty in the middle third of the run
     * @param lengthMs the time in which jobs arrive and run, in milliseconds
     * @return the highest payoff that can be earned
     */
    static double of(
            PoolLoad load,
            List<PoolArrival> arrivals,
            List<EmulatedEndpoint> endpoints,
            int faultyCount,
            long lengthMs) {
        long smallestMilliCores =
                arrivals.stream().mapToLong(a -> a.job().milliCores()).min().orElse(1);
        double coreCapacity = 0;
        double taskCapacity = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            EmulatedEndpoint e = endpoints.get(i);
            double share = i < faultyCount ? availableShare(load.fault()) : 1;
            coreCapacity += e.registration.milliCores() / e.durationFactor * lengthMs * share;
            taskCapacity +=
                    (double) (e.registration.milliCores() / smallestMilliCores) / e.durationFactor * lengthMs * share;
        }
        double payoffByCores =
                maxPayoff(arrivals, coreCapacity, a -> work(a) * a.job().milliCores());
        return Math.min(payoffByCores, maxPayoff(arrivals, taskCapacity, PayoffUpperBound::work));
    }

    /**
     * Returns the payoff of the jobs with the highest payoff per unit of cost that fit into the capacity; the job that
     * fits only in part counts in part.
     */
    private static double maxPayoff(List<PoolArrival> arrivals, double capacity, ToDoubleFunction<PoolArrival> cost) {
        List<PoolArrival> best = new ArrayList<>(arrivals);
        best.removeIf(a -> !a.isCounted());
        best.sort(Comparator.comparingDouble(a -> -a.payoff() / cost.applyAsDouble(a)));
        double remaining = capacity;
        double payoff = 0;
        for (PoolArrival a : best) {
            double part = Math.min(1, remaining / cost.applyAsDouble(a));
            payoff += part * a.payoff();
            remaining -= part * cost.applyAsDouble(a);
        }
        return payoff;
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
