package org.gooseberrypier.internal.engine;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;

/**
 * A bounded Disruptor ring with one consumer thread, which passes each element to a handler.
 *
 * @param <E> the type of the elements
 */
public final class EventRing<E> implements AutoCloseable {

    private static final long FULL_RING_RETRY_DELAY_NANOS = 50_000;

    private final Disruptor<Slot<E>> disruptor;
    private final RingBuffer<Slot<E>> ring;
    private volatile boolean closed;

    /**
     * Creates a ring that is not started yet.
     *
     * @param name the name of the consumer thread
     * @param size the capacity in elements, a power of two
     * @param handler handles each element on the consumer thread; the second argument is whether no further element was
     *     waiting when the elements before it were taken from the ring
     * @param advance called on the consumer thread when a wait ends without an element
     * @param sleepMs supplies how long the consumer thread may sleep, in milliseconds; called on that thread
     * @param onFatalError called with an error of the handler, after which no further element is handled
     */
    public EventRing(
            String name,
            int size,
            BiConsumer<E, Boolean> handler,
            Runnable advance,
            LongSupplier sleepMs,
            Consumer<Throwable> onFatalError) {
        disruptor = new Disruptor<>(
                Slot::new, size, r -> new Thread(r, name), ProducerType.MULTI, new TimerWaitStrategy(sleepMs));
        disruptor.setDefaultExceptionHandler(new StopOnError(onFatalError));
        disruptor.handleEventsWith(new Consumption<>(handler, advance));
        ring = disruptor.getRingBuffer();
    }

    /** Starts the consumer thread. */
    public void start() {
        disruptor.start();
    }

    /**
     * Publishes an element and blocks while the ring is full; after {@link #close()} the element is dropped. Must not be
     * called on the consumer thread, which would wait for itself if the ring is full.
     *
     * @param element the element
     */
    public void publish(E element) {
        while (!closed && !tryPublish(element)) {
            LockSupport.parkNanos(FULL_RING_RETRY_DELAY_NANOS);
        }
    }

    /**
     * Publishes an element unless the ring is full or closed.
     *
     * @param element the element
     * @return whether it was published
     */
    public boolean tryPublish(E element) {
        return !closed && ring.tryPublishEvent((slot, sequence, e) -> slot.element = e, element);
    }

    /**
     * Returns the number of elements that wait for the consumer.
     *
     * @return the number of elements
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

    private record Consumption<E>(BiConsumer<E, Boolean> handler, Runnable advance) implements EventHandler<Slot<E>> {

        @Override
        public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
            E element = slot.element;
            slot.element = null;
            handler.accept(element, endOfBatch);
        }

        @Override
        public void onTimeout(long sequence) {
            advance.run();
        }
    }

    private final class StopOnError implements ExceptionHandler<Slot<E>> {

        private final Consumer<Throwable> onFatalError;

        StopOnError(Consumer<Throwable> onFatalError) {
            this.onFatalError = onFatalError;
        }

        @Override
        public void handleEventException(Throwable error, long sequence, Slot<E> slot) {
            close();
            onFatalError.accept(error);
        }

        @Override
        public void handleOnStartException(Throwable error) {
            onFatalError.accept(error);
        }

        @Override
        public void handleOnShutdownException(Throwable error) {
            onFatalError.accept(error);
        }
    }
}
