package org.gooseberrypier.server.log;

import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/** Asynchronous appender that writes on its own thread; lines are dropped and counted while its queue is full. */
public final class BoundedAppender extends AsyncAppender {

    private static final AtomicLong DROPPED = new AtomicLong();

    /** Creates an appender that never blocks its callers. */
    public BoundedAppender() {
        setNeverBlock(true);
        setDiscardingThreshold(0);
    }

    /**
     * Returns how many lines all appenders of this process dropped.
     *
     * @return the number of lines
     */
    public static long dropped() {
        return DROPPED.get();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            DROPPED.incrementAndGet();
            return;
        }
        super.append(event);
    }
}
