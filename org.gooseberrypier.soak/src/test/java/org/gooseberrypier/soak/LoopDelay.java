package org.gooseberrypier.soak;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;

/**
 * Measures how late the event loops of the stand-ins and the proxy are. A run whose stand-ins were late by more than the
 * bounds of the program shows how the program answers late partners, beside what the cuts do.
 */
final class LoopDelay {

    private static final long INTERVAL_MS = 10;
    private static final long NOTED_MS = 50;

    private final AtomicInteger noted = new AtomicInteger();
    private volatile long largestMs;

    LoopDelay(EventLoopGroup group) {
        for (EventExecutor loop : group) {
            measure(loop);
        }
    }

    private void measure(EventExecutor loop) {
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS);
        loop.schedule(
                () -> {
                    long lateMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - due);
                    if (lateMs > NOTED_MS) {
                        noted.incrementAndGet();
                        largestMs = Math.max(largestMs, lateMs);
                    }
                    measure(loop);
                },
                INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%d times, at most %d ms", noted.get(), largestMs);
    }
}
