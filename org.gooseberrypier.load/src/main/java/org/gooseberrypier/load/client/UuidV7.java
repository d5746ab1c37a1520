package org.gooseberrypier.load.client;

import java.util.UUID;

import org.apache.commons.rng.UniformRandomProvider;

/** Creates version 7 UUIDs, which contain the time of their creation. */
public final class UuidV7 {

    private static final long VERSION = 0x7000L;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final long RANDOM_A_MASK = 0xFFFL;
    private static final long RANDOM_B_MASK = 0x3FFF_FFFF_FFFF_FFFFL;
    private static final int TIME_SHIFT = 16;

    private UuidV7() {}

    /**
     * Creates a UUID.
     *
     * @param timeMs the time that it contains, in milliseconds since the epoch
     * @param random the source of its random bits
     * @return the UUID
     */
    public static UUID create(long timeMs, UniformRandomProvider random) {
        long high = timeMs << TIME_SHIFT | VERSION | random.nextLong() & RANDOM_A_MASK;
        long low = VARIANT | random.nextLong() & RANDOM_B_MASK;
        return new UUID(high, low);
    }
}
