package org.gooseberrypier.load.run;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The increase of the metrics of the VMs during a run.
 *
 * @param counts the increase of each counter, summed over the VMs
 * @param vmSeconds the number of VMs times the duration of the run, in seconds
 */
public record MetricsIncrease(Map<String, Double> counts, double vmSeconds) {

    /** No counters and no run time. */
    static final MetricsIncrease NONE = new MetricsIncrease(Map.of(), 0);

    /** Copies the map. */
    public MetricsIncrease {
        counts = Map.copyOf(counts);
    }

    /**
     * Returns the difference of two readings; a counter that decreased counts as 0.
     *
     * @param before the metrics at the start
     * @param after the metrics at the end
     * @param vmSeconds the number of VMs times the time between the readings, in seconds
     * @return the increase
     */
    static MetricsIncrease between(Map<String, Double> before, Map<String, Double> after, double vmSeconds) {
        Map<String, Double> counts = new HashMap<>();
        after.forEach((n, v) -> counts.put(n, Math.max(0, v - before.getOrDefault(n, 0.0))));
        return new MetricsIncrease(counts, vmSeconds);
    }

    MetricsIncrease plus(MetricsIncrease other) {
        Map<String, Double> sum = new HashMap<>(counts);
        other.counts.forEach((n, v) -> sum.merge(n, v, Double::sum));
        return new MetricsIncrease(sum, vmSeconds + other.vmSeconds);
    }

    /** Returns the sum of all counters whose name contains one of the words; empty if there is no such counter. */
    OptionalDouble sum(String... words) {
        double sum = 0;
        boolean found = false;
        for (Map.Entry<String, Double> c : counts.entrySet()) {
            for (String w : words) {
                if (c.getKey().contains(w)) {
                    sum += c.getValue();
                    found = true;
                    break;
                }
            }
        }
        return found ? OptionalDouble.of(sum) : OptionalDouble.empty();
    }
}
