package org.gooseberrypier.server.pool;

import java.util.function.Consumer;

import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.server.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the list of endpoints from the store at an interval that depends on whether this VM owns endpoints. */
final class EndpointListPoller {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointListPoller.class);

    /** Interval at which an owner reads the endpoints, in milliseconds; short enough to notice a drain in time. */
    private static final long OWNER_INTERVAL_MS = 400;

    /** Interval at which a VM that is not the owner reads the endpoints, in milliseconds. */
    private static final long FOLLOWER_INTERVAL_MS = 3_000;

    private final PoolStore store;
    private final Consumer<PoolEvent> events;
    private volatile boolean owner;
    /** Whether a read is under way; cleared on an event loop. */
    private volatile boolean reading;

    private long nextReadAtMs;

    EndpointListPoller(PoolStore store, Consumer<PoolEvent> events) {
        this.store = store;
        this.events = events;
    }

    /** Changes the interval; the next read follows without a delay. */
    void setOwner(boolean value) {
        owner = value;
        nextReadAtMs = 0;
    }

    boolean isOwner() {
        return owner;
    }

    /** Sends a read if one is due; called on the core's thread. */
    void poll(long nowMs) {
        if (nowMs < nextReadAtMs || reading) {
            return;
        }
        reading = true;
        nextReadAtMs = nowMs + (owner ? OWNER_INTERVAL_MS : FOLLOWER_INTERVAL_MS);
        try {
            store.readEndpoints().whenComplete((list, error) -> {
                reading = false;
                if (error == null) {
                    events.accept(new PoolEvent.EndpointsRead(list, nowMs));
                } else {
                    logFailure(error);
                }
            });
        } catch (RuntimeException e) {
            reading = false;
            logFailure(e);
        }
    }

    private static void logFailure(Throwable error) {
        LOG.warn("event=endpoints_not_read error={}", LogText.quote(error.getMessage()));
    }
}
