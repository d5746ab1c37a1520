package org.gooseberrypier.internal.board;

import java.util.EnumMap;
import java.util.Map;

/** Holds the counters since the start of the process; every controller increments them. */
public final class CounterSection {

    private final long[] values = new long[Counter.values().length];

    /**
     * Increments a counter by one.
     *
     * @param counter the counter
     */
    public void increment(Counter counter) {
        add(counter, 1);
    }

    /**
     * Increments a counter.
     *
     * @param counter the counter
     * @param amount the increment, not negative
     */
    public void add(Counter counter, long amount) {
        values[counter.ordinal()] += amount;
    }

    /**
     * Returns the value of a counter.
     *
     * @param counter the counter
     * @return the value
     */
    public long get(Counter counter) {
        return values[counter.ordinal()];
    }

    /**
     * Copies all counters.
     *
     * @return the value of each counter
     */
    public Map<Counter, Long> snapshot() {
        Map<Counter, Long> copy = new EnumMap<>(Counter.class);
        for (Counter c : Counter.values()) {
            copy.put(c, get(c));
        }
        return copy;
    }
}
