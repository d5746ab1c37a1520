package org.gooseberrypier.internal.engine;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;

/**
 * A bounded Disruptor ring whose one consumer thread gives each element to a handler.
 *
 * @param <E> what is published
 */
public final class EventRing<E> implements AutoCloseable {

    private static final long FULL_PAUSE_NANOS = 50_000;

    private final Disruptor<Slot<E>> disruptor;
    private final RingBuffer<Slot<E>> ring;
    private volatile boolean closed;

    /**
     * Creates a ring, not yet started.
     *
     * @param name the name of the consumer thread
     * @param size how many elements wait at most, a power of two
     * @param handler what is done with each element, on the consumer thread
     * @param advance called on the consumer thread after it slept without an element
     * @param sleepMs how long the consumer thread may sleep now, in milliseconds; asked on that thread
     * @param fatal hears of an error of the handler, after which nothing more is handled
     */
    public EventRing(
            String name,
            int size,
            Consumer<E> handler,
            Runnable advance,
            LongSupplier sleepMs,
            Consumer<Throwable> fatal) {
        disruptor = new Disruptor<>(
                Slot::new, size, r -> new Thread(r, name), ProducerType.MULTI, new TimerWaitStrategy(sleepMs));
        disruptor.setDefaultExceptionHandler(new StopOnError(fatal));
        disruptor.handleEventsWith(new Consumption<>(handler, advance));
        ring = disruptor.getRingBuffer();
    }

    /** Starts the consumer thread. */
    public void start() {
        disruptor.start();
    }

    /**
     * Publishes an element, waiting while the ring is full; after {@link #close()} it is dropped.
     *
     * @param element the element
     */
    public void publish(E element) {
        while (!closed && !tryPublish(element)) {
            LockSupport.parkNanos(FULL_PAUSE_NANOS);
        }
    }

    /**
     * Publishes an element unless the ring is full.
     *
     * @param element the element
     * @return whether it was published
     */
    public boolean tryPublish(E element) {
        return !closed && ring.tryPublishEvent((slot, sequence, e) -> slot.element = e, element);
    }

    /**
     * Returns how many elements wait.
     *
     * @return elements
     */
    public long waiting() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    @Override
    public void close() {
        closed = true;
        disruptor.halt();
    }

    private static final class Slot<E> {
        private E element;
    }

    private record Consumption<E>(Consumer<E> handler, Runnable advance) implements EventHandler<Slot<E>> {

        @Override
        public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
            E element = slot.element;
            slot.element = null;
            handler.accept(element);
        }

        @Override
        public void onTimeout(long sequence) {
            advance.run();
        }
    }

    private final class StopOnError implements ExceptionHandler<Slot<E>> {

        private final Consumer<Throwable> fatal;

        StopOnError(Consumer<Throwable> fatal) {
            this.fatal = fatal;
        }

        @Override
        public void handleEventException(Throwable error, long sequence, Slot<E> slot) {
            close();
            fatal.accept(error);
        }

        @Override
        public void handleOnStartException(Throwable error) {
            fatal.accept(error);
        }

        @Override
        public void handleOnShutdownException(Throwable error) {
            fatal.accept(error);
        }
    }
}
