package org.gooseberrypier.http;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the bytes that the unanswered requests of one listener hold. */
final class BodyBudget {

    private final long maxBytes;
    private final AtomicLong held = new AtomicLong();

    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    boolean tryAcquire(long bytes) {
        if (held.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        held.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        held.addAndGet(-bytes);
    }
}
