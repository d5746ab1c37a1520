package org.gooseberrypier.http;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that the bodies of all unanswered requests of one listener hold together. */
final class BodyBudget {

    private final long maxBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    boolean tryAcquire(long bytes) {
        if (heldBytes.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        heldBytes.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        heldBytes.addAndGet(-bytes);
    }
}
