package org.gooseberrypier.server.log;

import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/** Writes log lines on a thread of its own; a line that finds the queue full is dropped and counted. */
public final class BoundedAppender extends AsyncAppender {

    private static final AtomicLong DROPPED = new AtomicLong();

    /** Creates an appender that never blocks its callers. */
    public BoundedAppender() {
        setNeverBlock(true);
        setDiscardingThreshold(0);
    }

    /**
     * Returns how many lines this process dropped.
     *
     * @return lines
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
