package org.gooseberrypier.internal.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.WaitStrategy;

/** Blocks the consumer thread until the next event or the next timer, whichever comes first. */
final class TimerWaitStrategy implements WaitStrategy {

    private final LongSupplier sleepMs;
    private final Object mutex = new Object();

    /**
     * Creates the strategy.
     *
     * @param sleepMs supplies how long the consumer thread may sleep, in milliseconds; called on that thread
     */
    TimerWaitStrategy(LongSupplier sleepMs) {
        this.sleepMs = sleepMs;
    }

    @Override
    public long waitFor(long sequence, Sequence cursor, Sequence dependent, SequenceBarrier barrier)
            throws AlertException, InterruptedException, TimeoutException {
        if (cursor.get() < sequence) {
            awaitPublished(sequence, cursor, barrier);
        }
        long available = dependent.get();
        while (available < sequence) {
            barrier.checkAlert();
            Thread.onSpinWait();
            available = dependent.get();
        }
        return available;
    }

    private void awaitPublished(long sequence, Sequence cursor, SequenceBarrier barrier)
            throws AlertException, InterruptedException, TimeoutException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(sleepMs.getAsLong());
        synchronized (mutex) {
            while (cursor.get() < sequence) {
                barrier.checkAlert();
                long remainingNanos = deadlineNanos - System.nanoTime();
                if (remainingNanos <= 0) {
                    throw TimeoutException.INSTANCE;
                }
                TimeUnit.NANOSECONDS.timedWait(mutex, remainingNanos);
            }
        }
    }

    @Override
    public void signalAllWhenBlocking() {
        synchronized (mutex) {
            mutex.notifyAll();
        }
    }
}
